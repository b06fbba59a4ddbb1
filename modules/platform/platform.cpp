#include "platform/platform.h"
