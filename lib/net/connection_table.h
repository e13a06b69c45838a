/// \file
/// Open connections of one server and the responses in progress on them.

#ifndef TEASELHILL_LIB_NET_CONNECTION_TABLE_H_
#define TEASELHILL_LIB_NET_CONNECTION_TABLE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <restinio/all.hpp>
#include <set>
#include <unordered_map>
#include <utility>

namespace teaselhill::net {

class RestinioResponse;

/// Open connections and the responses in progress on each.
class ConnectionTable {
 public:
  /// `post` runs a function on the loop's thread, after the current one.
  explicit ConnectionTable(
      std::function<void(std::function<void()>)> post = nullptr)
      : post_(std::move(post)) {}

  void Add(restinio::connection_id_t connection,
           const std::shared_ptr<RestinioResponse>& response);
  void Remove(restinio::connection_id_t connection,
              const RestinioResponse* response);

  void OnOpened(restinio::connection_id_t connection,
                const restinio::endpoint_t& remote) {
    open_.emplace(connection, remote);
  }

  /// Peers of the connections that have no response in progress.
  std::set<restinio::endpoint_t> IdlePeers() const;

  /// As IsBusy(), for the connection of a peer.
  bool IsPeerBusy(const restinio::endpoint_t& remote) const;

  /// Whether the connection has a response that is not written whole.
  bool IsBusy(restinio::connection_id_t connection) const;

  /// Whether a request behind this one has no whole answer yet.
  bool HasLater(restinio::connection_id_t connection,
                restinio::request_id_t request) const;

  /// Lets the first response of the connection that is not written whole
  /// proceed, if it waits for its turn.
  void GiveTurn(restinio::connection_id_t connection);

  /// The connection ends with a response that has begun; what follows on it is
  /// not handled.
  void OnClosing(restinio::connection_id_t connection) {
    closing_.insert(connection);
  }
  bool IsClosing(restinio::connection_id_t connection) const {
    return closing_.count(connection) > 0;
  }

  /// Whether any response is not written whole.
  bool HasUnsent() const;

  /// Also called for a connection whose TLS handshake failed.
  void OnClosed(restinio::connection_id_t connection);

  size_t open() const { return open_.size(); }

 private:
  std::unordered_multimap<restinio::connection_id_t,
                          std::weak_ptr<RestinioResponse>>
      responses_;
  std::unordered_map<restinio::connection_id_t, restinio::endpoint_t> open_;
  std::set<restinio::connection_id_t> closing_;
  std::function<void(std::function<void()>)> post_;
};

/// Tells the open responses of a connection that it has been closed.
class ConnectionListener {
 public:
  explicit ConnectionListener(std::shared_ptr<ConnectionTable> table)
      : table_(std::move(table)) {}
  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept;

 private:
  std::shared_ptr<ConnectionTable> table_;
};

}  // namespace teaselhill::net

#endif  // TEASELHILL_LIB_NET_CONNECTION_TABLE_H_
