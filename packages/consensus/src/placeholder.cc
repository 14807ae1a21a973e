#include "consensus/node.h"
#include "consensus/storage.h"
