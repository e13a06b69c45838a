/// \file
/// Lookup of classes in contracts.

#include "teaselhill/config/contract.h"

#include <algorithm>

namespace teaselhill::config {

const ClassPolicy* Contract::FindClass(const std::string& name) const {
  const auto found =
      std::find_if(classes.begin(), classes.end(),
                   [&](const ClassPolicy& c) { return c.name == name; });
  return found == classes.end() ? nullptr : &*found;
}

}  // namespace teaselhill::config
