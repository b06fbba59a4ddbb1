#include "recovery/recovery.h"
