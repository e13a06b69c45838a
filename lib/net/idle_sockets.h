/// \file
/// Sockets of the connections that libcurl keeps for later requests.

#ifndef TEASELHILL_LIB_NET_IDLE_SOCKETS_H_
#define TEASELHILL_LIB_NET_IDLE_SOCKETS_H_

#include <curl/curl.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace teaselhill::net {

/// Finds the socket of a connection before a request is sent on it, when
/// libcurl names only the endpoints of the connection.
class IdleSockets {
 public:
  /// Records that the transfer of `easy` has ended, before it is removed from
  /// its multi handle. Does nothing if its connection was closed.
  void OnTransferEnded(CURL* easy);

  /// Returns the socket between two endpoints; nothing if no transfer on it has
  /// ended.
  std::optional<curl_socket_t> Find(const std::string& local_address,
                                    int local_port,
                                    const std::string& remote_address,
                                    int remote_port) const;

 private:
  // An entry stays when libcurl closes the socket, until the number of the
  // socket or the endpoints are used again; so there are at most as many as
  // sockets that were open at once.
  std::unordered_map<curl_socket_t, std::string> endpoints_;
  std::unordered_map<std::string, curl_socket_t> sockets_;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_IDLE_SOCKETS_H_
