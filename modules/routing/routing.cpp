#include "routing/routing.h"
