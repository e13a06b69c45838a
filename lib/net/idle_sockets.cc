/// \file
/// Sockets of the connections that libcurl keeps for later requests.

#include "idle_sockets.h"

namespace teaselhill::net {

static std::string KeyOf(const std::string& local_address,
                         int local_port,
                         const std::string& remote_address,
                         int remote_port) {
  return local_address + " " + std::to_string(local_port) + " " +
         remote_address + " " + std::to_string(remote_port);
}

void IdleSockets::OnTransferEnded(CURL* easy) {
  curl_socket_t socket = CURL_SOCKET_BAD;
  curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &socket);
  if (socket == CURL_SOCKET_BAD)
    return;
  const char* local_address = nullptr;
  const char* remote_address = nullptr;
  long local_port = 0;
  long remote_port = 0;
  curl_easy_getinfo(easy, CURLINFO_LOCAL_IP, &local_address);
  curl_easy_getinfo(easy, CURLINFO_LOCAL_PORT, &local_port);
  curl_easy_getinfo(easy, CURLINFO_PRIMARY_IP, &remote_address);
  curl_easy_getinfo(easy, CURLINFO_PRIMARY_PORT, &remote_port);
  if (!local_address || !remote_address)
    return;
  const std::string key = KeyOf(local_address, static_cast<int>(local_port),
                                remote_address, static_cast<int>(remote_port));
  const auto previous = endpoints_.find(socket);
  if (previous != endpoints_.end() && previous->second != key)
    sockets_.erase(previous->second);
  const auto known = sockets_.find(key);
  if (known != sockets_.end() && known->second != socket)
    endpoints_.erase(known->second);
  endpoints_[socket] = key;
  sockets_[key] = socket;
}

std::optional<curl_socket_t> IdleSockets::Find(
    const std::string& local_address,
    int local_port,
    const std::string& remote_address,
    int remote_port) const {
  const auto found = sockets_.find(
      KeyOf(local_address, local_port, remote_address, remote_port));
  if (found == sockets_.end())
    return std::nullopt;
  return found->second;
}

}  // namespace teaselhill::net
