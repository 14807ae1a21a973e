#include "control/coordinator.h"
