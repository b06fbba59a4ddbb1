#pragma once

/// Umbrella header of the standins module: servers that take the place of the platform and of the
/// backend servers in tests and in the demo.
