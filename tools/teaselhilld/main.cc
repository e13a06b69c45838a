/// \file
/// Router daemon.

#include <unistd.h>

#include <iostream>

#include "teaselhill/router/daemon.h"

int main(int argc, char** argv) {
  using namespace teaselhill::router;
  std::vector<std::string> environment;
  for (char** entry = environ; *entry; ++entry)
    environment.emplace_back(*entry);
  const ParsedSettings parsed = ParseSettings(
      std::vector<std::string>(argv + 1, argv + argc), environment);
  if (const auto* print = std::get_if<PrintAndExit>(&parsed)) {
    (print->exit_code == 0 ? std::cout : std::cerr) << print->text;
    return print->exit_code;
  }
  return RunDaemon(std::get<Settings>(parsed));
}
