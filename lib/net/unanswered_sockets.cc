/// \file
/// Options of sockets that decide what happens to unsent bytes.

#include "unanswered_sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

namespace teaselhill::net {

namespace {

/// Whether closing the socket resets its connection and drops what is unsent.
void SetResetOnClose(curl_socket_t socket, bool reset) {
  linger option = {};
  option.l_onoff = reset ? 1 : 0;
  // It fails on a socket whose connection is gone, which has nothing to drop.
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void SetAcknowledgementTimeout(curl_socket_t socket, Duration timeout) {
  const auto milliseconds = static_cast<unsigned int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
             sizeof(milliseconds));
}

}  // namespace

void UnansweredSockets::Add(curl_socket_t socket) {
  sockets_[socket] = OnExit::kClose;
}

void UnansweredSockets::AddWithTimeout(curl_socket_t socket, Duration timeout) {
  SetAcknowledgementTimeout(socket, timeout);
  SetResetOnClose(socket, true);
  sockets_[socket] = OnExit::kReset;
}

void UnansweredSockets::Remove(curl_socket_t socket) {
  const auto found = sockets_.find(socket);
  if (found == sockets_.end())
    return;
  if (found->second == OnExit::kReset)
    SetResetOnClose(socket, false);
  sockets_.erase(found);
}

int UnansweredSockets::Close(curl_socket_t socket) {
  const auto found = sockets_.find(socket);
  if (found != sockets_.end()) {
    if (found->second == OnExit::kClose)
      SetResetOnClose(socket, true);
    sockets_.erase(found);
  }
  return close(socket);
}

}  // namespace teaselhill::net
