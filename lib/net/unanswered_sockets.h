/// \file
/// Sockets of the connections on which a request waits for its answer.

#ifndef TEASELHILL_LIB_NET_UNANSWERED_SOCKETS_H_
#define TEASELHILL_LIB_NET_UNANSWERED_SOCKETS_H_

#include <curl/curl.h>

#include <unordered_map>

#include "teaselhill/support/time.h"

namespace teaselhill::net {

/// Resets a connection that is closed before an answer has come. After a mere
/// close, the system goes on sending what the other side has not acknowledged:
/// during a network partition, a request would arrive long after its transfer
/// was given up.
class UnansweredSockets {
 public:
  /// A request is about to be sent on the socket.
  void Add(curl_socket_t socket);

  /// The same on a new connection, whose request must not outlive this process
  /// either: the system gives the connection up when nothing has been
  /// acknowledged for `timeout`, and resets it if the process ends.
  void AddWithTimeout(curl_socket_t socket, Duration timeout);

  /// The head of the answer has come, so the request has arrived.
  void Remove(curl_socket_t socket);

  /// Closes the socket. Returns the result of close().
  int Close(curl_socket_t socket);

 private:
  enum class OnExit { kClose, kReset };

  std::unordered_map<curl_socket_t, OnExit> sockets_;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_UNANSWERED_SOCKETS_H_
