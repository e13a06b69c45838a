/// \file
/// Sockets of callers: TLS handshake and refusals.

#include "caller_socket.h"

namespace teaselhill::net {

namespace {

/// A caller that goes on sending after its refusal is cut off then.
constexpr std::chrono::seconds kDiscardTime{1};

/// Refusals in progress on one server; beyond them connections close at once.
constexpr size_t kMaxRefusals = 256;

}  // namespace

void Channel::Refuse(ResultCode code) {
  if (!reading)
    return;
  refusal = code;
  CancelRead();
  asio::error_code ignored;
  tcp.cancel(ignored);
}

void Channel::CancelRead() {
  if (reader)
    reader->CancelRead();
}

void Channel::Abort() {
  asio::error_code ignored;
  // The system would go on sending what it has taken.
  tcp.set_option(asio::socket_base::linger(true, 0), ignored);
  // Pending operations end as for a caller that has gone.
  tcp.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

Refusal::Refusal(std::shared_ptr<Channel> channel,
                 std::shared_ptr<SocketPolicy> policy,
                 std::string response)
    : channel_(std::move(channel)),
      policy_(std::move(policy)),
      response_(std::move(response)),
      timer_(channel_->tcp.get_executor()) {
  ++policy_->refusals_open;
}

Refusal::~Refusal() {
  --policy_->refusals_open;
}

void Refusal::Start() {
  timer_.expires_after(kDiscardTime);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error)
      self->Close();
  });
  auto sent = [self = shared_from_this()](const asio::error_code& error,
                                          size_t) {
    if (error)
      return self->Close();
    asio::error_code ignored;
    self->channel_->tcp.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    self->Discard();
  };
  if (channel_->tls)
    asio::async_write(*channel_->tls, asio::buffer(response_), std::move(sent));
  else
    asio::async_write(channel_->tcp, asio::buffer(response_), std::move(sent));
}

void Refusal::Discard() {
  // Input is read below TLS: nobody looks at it.
  channel_->tcp.async_read_some(
      asio::buffer(discarded_),
      [self = shared_from_this()](const asio::error_code& error, size_t) {
        if (error)
          self->Close();
        else
          self->Discard();
      });
}

void Refusal::Close() {
  timer_.cancel();
  asio::error_code ignored;
  channel_->tcp.close(ignored);
}

void CallerSocket::shutdown(asio::ip::tcp::socket::shutdown_type type,
                            asio::error_code& error) {
  std::optional<ResultCode> fault = std::exchange(policy_->fault, std::nullopt);
  const std::optional<ResultCode> refusal =
      std::exchange(channel_->refusal, std::nullopt);
  if (!fault)
    fault = refusal;
  // A read is pending when a timer closes the connection, and none after an end
  // of input or a parser error.
  if (!fault && channel_->reading && channel_->unanswered_bytes > 0)
    fault = ResultCode::kRequestTimeout;
  if (fault && policy_->OwesAnswer(*channel_))
    fault.reset();
  if (!fault || channel_->writing || !is_open() ||
      policy_->refusals_open >= kMaxRefusals) {
    channel_->tcp.shutdown(type, error);
    return;
  }
  channel_->CancelRead();
  channel_->tcp.cancel(error);
  // What has been received of the request is dropped with its connection.
  channel_->reader.reset();
  const bool is_head = channel_->is_head;
  auto& context =
      static_cast<asio::io_context&>(channel_->tcp.get_executor().context());
  std::make_shared<Refusal>(
      std::exchange(channel_, std::make_shared<Channel>(context)), policy_,
      policy_->refusal(*fault, is_head))
      ->Start();
}

void CallerSocket::Prepare(
    std::function<void()> ready,
    std::function<void(const asio::error_code&)> failed) {
  if (!policy_->tls)
    return ready();
  Channel& channel = *channel_;
  channel.tls_context = policy_->tls->Current();
  channel.tls.emplace(channel.tcp, *channel.tls_context);
  auto timer = std::make_shared<asio::steady_timer>(channel.tcp.get_executor(),
                                                    policy_->handshake_timeout);
  timer->async_wait(
      [weak = std::weak_ptr<Channel>(channel_)](const asio::error_code& error) {
        const std::shared_ptr<Channel> late = weak.lock();
        asio::error_code ignored;
        if (late && !error)
          late->tcp.close(ignored);
      });
  channel.tls->async_handshake(
      asio::ssl::stream_base::server,
      [timer, ready = std::move(ready), failed = std::move(failed),
       alive = channel_](const asio::error_code& error) {
        timer->cancel();
        if (error)
          failed(error);
        else
          ready();
      });
}

}  // namespace teaselhill::net
