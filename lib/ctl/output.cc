/// \file
/// Table output.

#include "output.h"

#include <algorithm>

namespace teaselhill::ctl {

void PrintTable(const Row& head,
                const std::vector<Row>& rows,
                std::ostream& out) {
  std::vector<size_t> widths;
  for (const std::string& cell : head)
    widths.push_back(cell.size());
  for (const Row& row : rows)
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  const auto print = [&](const Row& row) {
    for (size_t i = 0; i < row.size(); ++i) {
      out << row[i];
      if (i + 1 < row.size())
        out << std::string(widths[i] - row[i].size() + 2, ' ');
    }
    out << "\n";
  };
  print(head);
  for (const Row& row : rows)
    print(row);
}

}  // namespace teaselhill::ctl
