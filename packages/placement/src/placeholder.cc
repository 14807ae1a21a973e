#include "placement/scheduler.h"
