#include "standin/harness.h"

G_DEFINE_QUARK (si_error, si_error)
