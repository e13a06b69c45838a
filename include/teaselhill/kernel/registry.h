/// \file
/// Registry of plug-ins that register themselves by name.

#ifndef TEASELHILL_KERNEL_REGISTRY_H_
#define TEASELHILL_KERNEL_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/support/result.h"

namespace teaselhill::kernel {

/// Maps names to factories of `Interface`. `Arguments` are passed to the
/// factory of the plug-in that is chosen.
template <typename Interface, typename... Arguments>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

  static Registry& Instance() {
    static Registry registry;
    return registry;
  }

  void Add(std::string name, Factory factory) {
    const bool added =
        factories_.emplace(std::move(name), std::move(factory)).second;
    assert(added && "two plug-ins registered under one name");
    (void)added;
  }

  /// Creates the plug-in `name`; kSettingInvalid lists the known names.
  Result<std::unique_ptr<Interface>> Create(const std::string& name,
                                            Arguments... arguments) const {
    const auto found = factories_.find(name);
    if (found == factories_.end())
      return {ResultCode::kSettingInvalid,
              "no plug-in '" + name + "', known: " + JoinedNames()};
    return found->second(std::forward<Arguments>(arguments)...);
  }

  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, factory] : factories_)
      names.push_back(name);
    return names;
  }

 private:
  std::string JoinedNames() const {
    std::string joined;
    for (const auto& [name, factory] : factories_)
      joined += (joined.empty() ? "" : ", ") + name;
    return joined;
  }

  std::map<std::string, Factory> factories_;
};

/// A static object of this type in a plug-in's file registers it at start.
template <typename Interface, typename... Arguments>
class Registration {
 public:
  Registration(std::string name,
               typename Registry<Interface, Arguments...>::Factory factory) {
    Registry<Interface, Arguments...>::Instance().Add(std::move(name),
                                                      std::move(factory));
  }
};

}  // namespace teaselhill::kernel

#endif  // TEASELHILL_KERNEL_REGISTRY_H_
