/// \file
/// Open connections of one server and the responses in progress on them.

#include "connection_table.h"

#include <algorithm>
#include <vector>

#include "restinio_response.h"

namespace teaselhill::net {

void ConnectionTable::Add(restinio::connection_id_t connection,
                          const std::shared_ptr<RestinioResponse>& response) {
  responses_.emplace(connection, response);
}

void ConnectionTable::Remove(restinio::connection_id_t connection,
                             const RestinioResponse* response) {
  auto [entry, last] = responses_.equal_range(connection);
  while (entry != last) {
    const std::shared_ptr<RestinioResponse> other = entry->second.lock();
    if (!other || other.get() == response)
      entry = responses_.erase(entry);
    else
      ++entry;
  }
}

std::set<restinio::endpoint_t> ConnectionTable::IdlePeers() const {
  std::set<restinio::endpoint_t> idle;
  for (const auto& [connection, remote] : open_) {
    if (!IsBusy(connection))
      idle.insert(remote);
  }
  return idle;
}

bool ConnectionTable::IsPeerBusy(const restinio::endpoint_t& remote) const {
  return std::any_of(open_.begin(), open_.end(), [&](const auto& entry) {
    return entry.second == remote && IsBusy(entry.first);
  });
}

bool ConnectionTable::IsBusy(restinio::connection_id_t connection) const {
  const auto [first, last] = responses_.equal_range(connection);
  return std::any_of(first, last, [](const auto& entry) {
    const std::shared_ptr<RestinioResponse> response = entry.second.lock();
    return response && !response->sent();
  });
}

bool ConnectionTable::HasLater(restinio::connection_id_t connection,
                               restinio::request_id_t request) const {
  const auto [first, last] = responses_.equal_range(connection);
  return std::any_of(first, last, [request](const auto& entry) {
    const std::shared_ptr<RestinioResponse> response = entry.second.lock();
    return response && response->request_id() > request;
  });
}

void ConnectionTable::GiveTurn(restinio::connection_id_t connection) {
  std::shared_ptr<RestinioResponse> next;
  const auto [first, last] = responses_.equal_range(connection);
  for (auto entry = first; entry != last; ++entry) {
    const std::shared_ptr<RestinioResponse> response = entry->second.lock();
    if (response && !response->sent() &&
        (!next || response->request_id() < next->request_id()))
      next = response;
  }
  if (!next)
    return;
  // RESTinio must not be called back while it writes.
  post_([weak = std::weak_ptr<RestinioResponse>(next)] {
    const std::shared_ptr<RestinioResponse> response = weak.lock();
    const auto handler = response ? response->TakeTurnHandler() : nullptr;
    if (handler)
      handler();
  });
}

bool ConnectionTable::HasUnsent() const {
  return std::any_of(
      responses_.begin(), responses_.end(), [](const auto& entry) {
        const std::shared_ptr<RestinioResponse> response = entry.second.lock();
        return response && !response->sent();
      });
}

void ConnectionTable::OnClosed(restinio::connection_id_t connection) {
  open_.erase(connection);
  closing_.erase(connection);
  std::vector<std::shared_ptr<RestinioResponse>> affected;
  const auto [first, last] = responses_.equal_range(connection);
  for (auto entry = first; entry != last; ++entry) {
    if (auto response = entry->second.lock())
      affected.push_back(std::move(response));
  }
  responses_.erase(first, last);
  for (const auto& response : affected)
    response->OnConnectionClosed();
}

void ConnectionListener::state_changed(
    const restinio::connection_state::notice_t& notice) noexcept {
  const auto cause = notice.cause();
  if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
          cause))
    table_->OnOpened(notice.connection_id(), notice.remote_endpoint());
  if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause))
    table_->OnClosed(notice.connection_id());
}

}  // namespace teaselhill::net
