#include "budget/budget.h"
