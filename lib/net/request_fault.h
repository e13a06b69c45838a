/// \file
/// Faults in the input of a connection that RESTinio ends without an answer.

#ifndef TEASELHILL_LIB_NET_REQUEST_FAULT_H_
#define TEASELHILL_LIB_NET_REQUEST_FAULT_H_

#include <memory>
#include <string>
#include <utility>

#include "caller_socket.h"
#include "connection_table.h"
#include "teaselhill/support/result.h"

namespace teaselhill::net {

/// Errors of RESTinio end a connection without an answer and are told to its
/// logger only, so this is where the kind of a fault in the input is learnt.
class FaultLogger {
 public:
  FaultLogger(std::shared_ptr<ConnectionTable> table,
              std::shared_ptr<SocketPolicy> policy)
      : table_(std::move(table)), policy_(std::move(policy)) {}

  template <typename Builder>
  void trace(Builder&&) const noexcept {}
  template <typename Builder>
  void info(Builder&&) const noexcept {}
  template <typename Builder>
  void warn(Builder&&) const noexcept {}
  template <typename Builder>
  void error(Builder&& builder) const {
    OnError(builder());
  }

 private:
  void OnError(const std::string& text) const;

  std::shared_ptr<ConnectionTable> table_;
  std::shared_ptr<SocketPolicy> policy_;
};

/// Returns a whole response that ends the connection; a HEAD request gets no
/// body.
std::string RefusalText(ResultCode code, bool is_head);

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_REQUEST_FAULT_H_
