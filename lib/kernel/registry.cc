/// \file
/// Keeps the kernel library non-empty; the registry is a template.

#include "teaselhill/kernel/registry.h"
