#include "standins/standins.h"
