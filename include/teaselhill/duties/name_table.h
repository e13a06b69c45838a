/// \file
/// Numbers for names that occur often.

#ifndef TEASELHILL_DUTIES_NAME_TABLE_H_
#define TEASELHILL_DUTIES_NAME_TABLE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace teaselhill::duties {

/// Gives each name a number, so that counts by name are small. Names are never
/// removed: teams are as many as the configuration has.
class NameTable {
 public:
  uint32_t NumberOf(std::string_view name) {
    const auto found = numbers_.find(name);
    if (found != numbers_.end())
      return found->second;
    const auto number = static_cast<uint32_t>(names_.size());
    names_.emplace_back(name);
    numbers_.emplace(names_.back(), number);
    return number;
  }

  const std::string& NameOf(uint32_t number) const { return names_[number]; }

 private:
  std::deque<std::string> names_;  ///< never moves its elements
  std::unordered_map<std::string_view, uint32_t> numbers_;
};

}  // namespace teaselhill::duties

#endif  // TEASELHILL_DUTIES_NAME_TABLE_H_
