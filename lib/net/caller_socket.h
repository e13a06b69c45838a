/// \file
/// Socket type for RESTinio connections: plain TCP or TLS, with a numbered
/// error for requests that RESTinio itself closes without an answer.

#ifndef TEASELHILL_LIB_NET_CALLER_SOCKET_H_
#define TEASELHILL_LIB_NET_CALLER_SOCKET_H_

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <asio/ssl.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <restinio/all.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "read_gate.h"
#include "teaselhill/net/tls.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::net {

/// The stream below a socket; its address is stable while operations run.
struct Channel {
  using TlsStream = asio::ssl::stream<asio::ip::tcp::socket&>;

  explicit Channel(asio::io_context& context) : tcp(context) {}

  /// Ends the pending read, so that the connection closes with a refusal of
  /// `code`.
  void Refuse(ResultCode code);

  /// Ends a read that is put off; no effect without one.
  void CancelRead();

  /// Closes the connection without what is not sent.
  void Abort();

  asio::ip::tcp::socket tcp;
  /// Keeps the certificates that were current at the handshake.
  std::shared_ptr<asio::ssl::context> tls_context;
  std::optional<TlsStream> tls;
  bool reading = false;
  bool writing = false;
  /// Bytes received since the last write ended.
  size_t unanswered_bytes = 0;
  /// Whether these bytes begin with a HEAD request.
  bool is_head = false;
  /// Code of the refusal with which the connection is to end.
  std::optional<ResultCode> refusal;
  /// Null: what the connection receives is not counted.
  std::unique_ptr<ReadGate::Reader> reader;
};

/// Channels of one server that are alive, in no order.
class ChannelList {
 public:
  void Add(const std::shared_ptr<Channel>& channel) {
    if (channels_.size() >= next_cleanup_)
      Clean();
    channels_.push_back(channel);
  }

  template <typename Use>
  void ForEach(Use use) {
    Clean();
    for (const std::weak_ptr<Channel>& entry : channels_) {
      if (const auto channel = entry.lock())
        use(*channel);
    }
  }

 private:
  static constexpr size_t kLeastCleanup = 64;

  void Clean() {
    channels_.erase(
        std::remove_if(channels_.begin(), channels_.end(),
                       [](const auto& entry) { return entry.expired(); }),
        channels_.end());
    next_cleanup_ = std::max(kLeastCleanup, 2 * channels_.size());
  }

  std::vector<std::weak_ptr<Channel>> channels_;
  size_t next_cleanup_ = kLeastCleanup;
};

/// State that the sockets of one server share; used on the loop's thread only.
struct SocketPolicy {
  bool OwesAnswer(const Channel& channel) const {
    asio::error_code error;
    const auto remote = channel.tcp.remote_endpoint(error);
    return !error && owes_answer(remote);
  }

  std::shared_ptr<TlsContext> tls;  ///< null: plain TCP
  Duration handshake_timeout{};
  /// Each chunk of a chunked body costs RESTinio a list entry however small it
  /// is, so that the input as such is limited as well.
  size_t max_unanswered_bytes = 0;
  /// Serializes the response to a request that was not accepted, for HEAD
  /// without its body.
  std::function<std::string(ResultCode, bool is_head)> refusal;
  /// Whether a request on the connection of this peer has no whole answer yet.
  /// Its caller would take a refusal for that answer.
  std::function<bool(const asio::ip::tcp::endpoint& remote)> owes_answer;
  /// Set by the logger hook just before RESTinio closes a connection because of
  /// its input, and taken by the socket that is closed.
  std::optional<ResultCode> fault;
  size_t refusals_open = 0;
  std::shared_ptr<ReadGate> read_gate;  ///< null: reads are never put off
  ChannelList channels;
};

/// Sends a refusal and then discards input for a bounded time, because closing
/// a socket with unread input resets the connection and the caller would lose
/// the response.
class Refusal : public std::enable_shared_from_this<Refusal> {
 public:
  Refusal(std::shared_ptr<Channel> channel,
          std::shared_ptr<SocketPolicy> policy,
          std::string response);
  ~Refusal();
  Refusal(const Refusal&) = delete;
  Refusal& operator=(const Refusal&) = delete;

  void Start();

 private:
  void Discard();
  void Close();

  std::shared_ptr<Channel> channel_;
  std::shared_ptr<SocketPolicy> policy_;
  std::string response_;
  asio::steady_timer timer_;
  std::array<char, 4096> discarded_;
};

/// Has the members that RESTinio uses of a socket.
class CallerSocket {
 public:
  using lowest_layer_type = asio::ip::tcp::socket;
  using executor_type = asio::ip::tcp::socket::executor_type;

  CallerSocket(asio::io_context& context, std::shared_ptr<SocketPolicy> policy)
      : policy_(std::move(policy)),
        channel_(std::make_shared<Channel>(context)) {
    if (policy_->read_gate)
      channel_->reader = std::make_unique<ReadGate::Reader>(
          policy_->read_gate,
          [channel = channel_.get(), policy = policy_.get()] {
            if (policy->OwesAnswer(*channel))
              return false;
            channel->Refuse(ResultCode::kRequestTimeout);
            return true;
          });
    policy_->channels.Add(channel_);
  }

  lowest_layer_type& lowest_layer() { return channel_->tcp; }
  const lowest_layer_type& lowest_layer() const { return channel_->tcp; }
  executor_type get_executor() { return channel_->tcp.get_executor(); }
  bool is_open() const { return channel_->tcp.is_open(); }
  auto native_handle() { return channel_->tcp.native_handle(); }
  bool native_non_blocking() const {
    return channel_->tcp.native_non_blocking();
  }

  template <typename... Arguments>
  void native_non_blocking(Arguments&&... arguments) {
    channel_->tcp.native_non_blocking(std::forward<Arguments>(arguments)...);
  }

  template <typename... Arguments>
  void async_wait(Arguments&&... arguments) {
    channel_->tcp.async_wait(std::forward<Arguments>(arguments)...);
  }

  void cancel(asio::error_code& error) {
    channel_->CancelRead();
    channel_->tcp.cancel(error);
  }

  // Handlers are taken by reference: Asio's composed operations move themselves
  // into the handler, and the buffers of the same call must be prepared first.
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    channel_->reading = true;
    auto done = [channel = channel_, policy = policy_, buffers,
                 handler = std::forward<Handler>(handler)](
                    const asio::error_code& error, size_t size) mutable {
      channel->reading = false;
      if (channel->unanswered_bytes == 0)
        channel->is_head = BeginsWithHead(buffers, size);
      channel->unanswered_bytes += size;
      const bool is_too_large =
          !error && channel->unanswered_bytes > policy->max_unanswered_bytes;
      if (is_too_large)
        policy->fault = ResultCode::kBodyTooLarge;
      // RESTinio would ignore the error of a read that was cancelled.
      if (is_too_large || channel->refusal)
        handler(asio::error_code(asio::error::message_size), 0);
      else if (error || !channel->reader)
        handler(error, size);
      else
        channel->reader->OnReceived(size, [&] { handler(error, size); });
    };
    if (!channel_->reader || channel_->reader->MayRead())
      return StartRead(*channel_, buffers, std::move(done));
    auto kept = std::make_shared<decltype(done)>(std::move(done));
    channel_->reader->PutOff(
        [channel = channel_, buffers, kept = std::move(kept)](bool is_granted) {
          if (is_granted)
            return StartRead(*channel, buffers, std::move(*kept));
          asio::post(channel->tcp.get_executor(),
                     [kept] { (*kept)(asio::error::operation_aborted, 0); });
        });
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    channel_->writing = true;
    auto done = [channel = channel_, handler = std::forward<Handler>(handler)](
                    const asio::error_code& error, size_t size) mutable {
      channel->writing = false;
      channel->unanswered_bytes = 0;
      handler(error, size);
    };
    if (channel_->tls)
      channel_->tls->async_write_some(buffers, std::move(done));
    else
      channel_->tcp.async_write_some(buffers, std::move(done));
  }

  /// RESTinio shuts a connection down only to close it, so this is where a
  /// refusal is sent.
  void shutdown(asio::ip::tcp::socket::shutdown_type type,
                asio::error_code& error);

  void close() {
    channel_->CancelRead();
    asio::error_code ignored;
    channel_->tcp.close(ignored);
  }

  /// Runs the TLS handshake, if any, and then `ready` or `failed`.
  void Prepare(std::function<void()> ready,
               std::function<void(const asio::error_code&)> failed);

 private:
  template <typename Buffers>
  static bool BeginsWithHead(const Buffers& buffers, size_t size) {
    constexpr std::string_view kHead = "HEAD ";
    return size >= kHead.size() &&
           std::equal(kHead.begin(), kHead.end(), asio::buffers_begin(buffers));
  }

  template <typename Buffers, typename Done>
  static void StartRead(Channel& channel, const Buffers& buffers, Done done) {
    if (channel.tls)
      channel.tls->async_read_some(buffers, std::move(done));
    else
      channel.tcp.async_read_some(buffers, std::move(done));
  }

  std::shared_ptr<SocketPolicy> policy_;
  std::shared_ptr<Channel> channel_;
};

// RESTinio finds the next two functions by argument-dependent lookup.

template <typename Connection, typename Ready, typename Failed>
void prepare_connection_and_start_read(CallerSocket& socket,
                                       Connection& connection,
                                       Ready ready,
                                       Failed failed) {
  socket.Prepare(
      [ready, alive = connection.shared_from_this()]() mutable { ready(); },
      [failed, alive = connection.shared_from_this()](
          const asio::error_code& error) mutable { failed(error); });
}

inline restinio::impl::tls_socket_t* make_tls_socket_pointer_for_state_listener(
    CallerSocket&) noexcept {
  return nullptr;
}

}  // namespace teaselhill::net

namespace restinio {

/// Carries the policy from the server's settings to its sockets.
template <typename Settings>
class socket_type_dependent_settings_t<Settings,
                                       teaselhill::net::CallerSocket> {
 public:
  std::shared_ptr<teaselhill::net::SocketPolicy> socket_policy;
};

namespace impl {

/// Holds the sockets that wait for the next connections.
template <>
class socket_supplier_t<teaselhill::net::CallerSocket> {
 protected:
  using Socket = teaselhill::net::CallerSocket;

  template <typename Settings>
  socket_supplier_t(Settings& settings, asio::io_context& context)
      : context_(context), policy_(settings.socket_policy) {
    while (sockets_.size() < settings.concurrent_accepts_count())
      sockets_.emplace_back(context_, policy_);
  }

  Socket& socket(std::size_t index) { return sockets_.at(index); }

  Socket move_socket(std::size_t index) {
    return std::exchange(sockets_.at(index), Socket(context_, policy_));
  }

  std::size_t concurrent_accept_sockets_count() const noexcept {
    return sockets_.size();
  }

 private:
  asio::io_context& context_;
  std::shared_ptr<teaselhill::net::SocketPolicy> policy_;
  std::vector<Socket> sockets_;
};

}  // namespace impl
}  // namespace restinio

#endif  // TEASELHILL_LIB_NET_CALLER_SOCKET_H_
