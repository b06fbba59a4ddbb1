#include "storage/storage.h"
