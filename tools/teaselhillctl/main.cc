/// \file
/// Entry point of the operators' client.

#include <iostream>

#include "teaselhill/ctl/command_line.h"

int main(int argc, char** argv) {
  return teaselhill::ctl::RunCommandLine(argc, argv, std::cout, std::cerr);
}
