#include "base/error.h"

/* clang-format off */
G_DEFINE_QUARK(auburn-error, auburn_error)
