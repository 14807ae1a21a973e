#include "base/sync.h"
