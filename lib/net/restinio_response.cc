/// \file
/// Response to one request on a connection of RESTinio.

#include "restinio_response.h"

#include <cassert>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "caller_socket.h"
#include "connection_table.h"

namespace teaselhill::net {

/// A response with fewer unsent bytes does not give way.
constexpr size_t kMinGivenWayBytes = 16 << 10;

/// A response with fewer unsent bytes gives way only if its caller has read
/// nothing for this long. A caller that reads must not lose its answer.
constexpr size_t kMaxProtectedBytes = 512 << 10;
constexpr std::chrono::milliseconds kMinUnreadTime{250};

restinio::http_status_line_t StatusLine(int status) {
  static const std::unordered_map<int, const char*> reasons = {
      {200, "OK"},
      {202, "Accepted"},
      {204, "No Content"},
      {400, "Bad Request"},
      {401, "Unauthorized"},
      {403, "Forbidden"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {408, "Request Timeout"},
      {421, "Misdirected Request"},
      {409, "Conflict"},
      {410, "Gone"},
      {413, "Payload Too Large"},
      {422, "Unprocessable Entity"},
      {429, "Too Many Requests"},
      {431, "Request Header Fields Too Large"},
      {500, "Internal Server Error"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"}};
  const auto reason = reasons.find(status);
  return {restinio::http_status_code_t(static_cast<uint16_t>(status)),
          reason == reasons.end() ? "Status" : reason->second};
}

/// Hop-by-hop headers belong to a connection and are set by RESTinio itself.
static bool IsManagedByServer(std::string_view name) {
  return SameHeaderName(name, "Connection") ||
         SameHeaderName(name, "Keep-Alive") ||
         SameHeaderName(name, "Content-Length") ||
         SameHeaderName(name, "Transfer-Encoding");
}

template <typename Builder>
void RestinioResponse::AddHeaders(Builder& response,
                                  const Headers& headers) const {
  if (*close_after_response_ && !HasLaterRequest()) {
    response.connection_close();
    MarkClosing();
  }
  for (const Header& header : headers) {
    if (!IsManagedByServer(header.name))
      response.append_header(header.name, header.value);
  }
}

RestinioResponse::~RestinioResponse() {
  if (const auto table = table_.lock())
    table->Remove(connection_, this);
}

void RestinioResponse::UseBudget(MemoryBudget& budget,
                                 std::unique_ptr<ReadGate::HeldRequest> request,
                                 std::shared_ptr<SocketPolicy> sockets) {
  held_request_ = std::move(request);
  sockets_ = std::move(sockets);
  remote_ = request_->remote_endpoint();
  unsent_ = budget.Open([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->GiveWay();
  });
}

bool RestinioResponse::HasLaterRequest() const {
  const auto table = table_.lock();
  return table && table->HasLater(connection_, request_id_);
}

void RestinioResponse::MarkClosing() const {
  if (const auto table = table_.lock())
    table->OnClosing(connection_);
}

void RestinioResponse::Respond(int status, Headers headers, std::string body) {
  if (closed_ || ended_)
    return;
  if (IsWithoutBody(status))
    return RespondWithHead(status, headers, body.size());
  auto response = request_->create_response(StatusLine(status));
  AddHeaders(response, headers);
  whole_bytes_ = body.size();
  progress_at_ = BootNow();
  response.set_body(std::move(body));
  CountUnsent();
  End();
  response.done(MarkSent());
  request_.reset();
}

bool RestinioResponse::IsWithoutBody(int status) const {
  return is_head_ || status < 200 || status == 204 || status == 304;
}

void RestinioResponse::RespondWithHead(int status,
                                       const Headers& headers,
                                       size_t content_length) {
  auto response = request_->create_response<restinio::user_controlled_output_t>(
      StatusLine(status));
  AddHeaders(response, headers);
  response.set_content_length(content_length);
  End();
  response.done(MarkSent());
  request_.reset();
}

void RestinioResponse::Start(int status, Headers headers) {
  if (closed_ || ended_ || stream_)
    return;
  if (IsWithoutBody(status))
    return RespondWithHead(status, headers, 0);
  stream_.emplace(request_->create_response<restinio::chunked_output_t>(
      StatusLine(status)));
  AddHeaders(*stream_, headers);
  stream_->flush();
  request_.reset();
}

void RestinioResponse::Write(std::string data) {
  if (closed_ || ended_ || data.empty())
    return;
  assert(stream_ && "Write() called before Start()");
  if (pending_bytes_ == 0)
    progress_at_ = BootNow();
  pending_bytes_ += data.size();
  if (unflushed_.empty())
    unflushed_ = std::move(data);
  else
    unflushed_ += data;
  CountUnsent();
  if (!flushing_)
    Flush();
}

void RestinioResponse::Flush() {
  if (unflushed_.empty())
    return;
  const size_t size = unflushed_.size();
  flushing_ = true;
  stream_->append_chunk(std::exchange(unflushed_, {}));
  stream_->flush(
      [self = shared_from_this(), size](const asio::error_code& error) {
        self->OnWritten(size, error);
      });
  // The spare capacity of the string is gone.
  CountUnsent();
}

void RestinioResponse::Finish() {
  if (closed_ || ended_ || !stream_)
    return;
  Flush();
  End();
  stream_->done(MarkSent());
  stream_.reset();
}

void RestinioResponse::Abort() {
  if (closed_ || ended_)
    return;
  if (stream_)
    Flush();
  End();
  MarkClosing();
  // A final part without the last chunk makes RESTinio close the connection
  // after what was flushed before.
  restinio::write_group_t nothing{restinio::writable_items_container_t{}};
  if (const auto connection = raw_connection_.lock())
    connection->write_response_parts(
        request_id_,
        {restinio::response_parts_attr_t::final_parts,
         restinio::response_connection_attr_t::connection_close},
        std::move(nothing));
  stream_.reset();
  request_.reset();
}

void RestinioResponse::SetCloseHandler(std::function<void()> handler) {
  close_handler_ = std::move(handler);
}

void RestinioResponse::SetDrainHandler(std::function<void()> handler) {
  drain_handler_ = std::move(handler);
}

void RestinioResponse::SetTurnHandler(std::function<void()> handler) {
  turn_handler_ = std::move(handler);
  if (const auto table = table_.lock())
    table->GiveTurn(connection_);
}

std::function<void()> RestinioResponse::TakeTurnHandler() {
  return std::exchange(turn_handler_, nullptr);
}

void RestinioResponse::OnConnectionClosed() {
  if (closed_)
    return;
  closed_ = true;
  turn_handler_ = nullptr;
  pending_bytes_ -= unflushed_.size();
  unflushed_.clear();
  unflushed_.shrink_to_fit();
  held_request_.reset();
  unsent_.reset();
  drain_handler_ = nullptr;
  const std::function<void()> handler = std::move(close_handler_);
  close_handler_ = nullptr;
  if (handler && !ended_)
    handler();
}

void RestinioResponse::End() {
  ended_ = true;
  held_request_.reset();
  close_handler_ = nullptr;
  drain_handler_ = nullptr;
}

std::function<void(const asio::error_code&)> RestinioResponse::MarkSent() {
  return [self = shared_from_this()](const asio::error_code& error) {
    self->sent_ = true;
    self->unsent_.reset();
    const auto table = self->table_.lock();
    if (table && !error)
      table->GiveTurn(self->connection_);
  };
}

void RestinioResponse::CountUnsent() {
  // What is being written has left `unflushed_`, whose size `pending_bytes_`
  // includes.
  if (unsent_)
    unsent_->Set(whole_bytes_ + pending_bytes_ - unflushed_.size() +
                 unflushed_.capacity());
}

void RestinioResponse::GiveWay() {
  // If the largest response is small, other messages hold the bytes.
  if (!unsent_ || unsent_->bytes() < kMinGivenWayBytes)
    return;
  const bool is_read = BootNow() - progress_at_ < kMinUnreadTime;
  if (is_read && unsent_->bytes() < kMaxProtectedBytes)
    return;
  sockets_->channels.ForEach([this](Channel& channel) {
    asio::error_code error;
    if (channel.tcp.remote_endpoint(error) == remote_ && !error)
      channel.Abort();
  });
  OnConnectionClosed();
}

void RestinioResponse::OnWritten(size_t size, const asio::error_code& error) {
  pending_bytes_ -= size;
  progress_at_ = BootNow();
  CountUnsent();
  flushing_ = false;
  if (error || closed_)
    return;
  if (!ended_)
    Flush();
  // The handler may replace itself or end the response.
  const std::function<void()> handler = drain_handler_;
  if (handler)
    handler();
}

}  // namespace teaselhill::net
