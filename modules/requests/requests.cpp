#include "requests/requests.h"
