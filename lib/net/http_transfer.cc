/// \file
/// Transfer of one request and its response on a libcurl easy handle.

#include "http_transfer.h"

#include <openssl/ssl.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <exception>
#include <string_view>
#include <utility>

namespace teaselhill::net {

namespace {

/// libcurl's own sizes of 16 KiB and 64 KiB exceed what a stream may cost.
constexpr long kReceiveBufferBytes = 4 << 10;
constexpr long kSendBufferBytes = 16 << 10;

long CurlMilliseconds(Duration duration) {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

ResultCode CodeOf(CURLcode code) {
  switch (code) {
    case CURLE_OK:
      return ResultCode::kOk;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_INTERFACE_FAILED:
    case CURLE_SSL_CONNECT_ERROR:
    case CURLE_PEER_FAILED_VERIFICATION:
      return ResultCode::kConnectFailed;
    case CURLE_OPERATION_TIMEDOUT:
      return ResultCode::kTimedOut;
    case CURLE_PARTIAL_FILE:
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
    case CURLE_GOT_NOTHING:
      return ResultCode::kConnectionLost;
    default:
      return ResultCode::kProtocolError;
  }
}

}  // namespace

Transfer::Transfer(TransferId id,
                   ClientRequest request,
                   std::shared_ptr<TransferHandler> handler,
                   const TlsFiles& tls,
                   const TimerService& timers,
                   const IdleSockets& idle_sockets,
                   UnansweredSockets& unanswered_sockets)
    : id_(id),
      timers_(timers),
      idle_sockets_(idle_sockets),
      unanswered_sockets_(unanswered_sockets),
      request_(std::move(request)),
      handler_(std::move(handler)),
      easy_(curl_easy_init()) {
  Configure();
  if (request_.url.rfind("https:", 0) == 0)
    ConfigureTls(tls);
}

std::optional<TimePoint> Transfer::IdleDeadline(TimePoint started_at) const {
  const Duration timeout =
      last_received_at_ ? request_.idle_timeout : request_.first_byte_timeout;
  if (timeout == Duration::zero())
    return std::nullopt;
  return last_received_at_.value_or(started_at) + timeout;
}

void Transfer::CountBytes(ByteCount* count) const {
  long request_bytes = 0;
  long head_bytes = 0;
  curl_off_t uploaded = 0;
  curl_off_t downloaded = 0;
  curl_easy_getinfo(easy(), CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(easy(), CURLINFO_HEADER_SIZE, &head_bytes);
  curl_easy_getinfo(easy(), CURLINFO_SIZE_UPLOAD_T, &uploaded);
  curl_easy_getinfo(easy(), CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
  // libcurl counts a body that it sends together with the head as part of
  // the request.
  constexpr curl_off_t kSentWithHead = 64 * 1024;
  count->sent += static_cast<uint64_t>(
      request_bytes + (uploaded > kSentWithHead ? uploaded : 0));
  count->received += static_cast<uint64_t>(head_bytes + downloaded);
}

void Transfer::UseNewConnection() {
  connection_is_stale_ = false;
  error_[0] = 0;
  curl_easy_setopt(easy(), CURLOPT_FRESH_CONNECT, 1L);
}

void Transfer::End(CURLcode code) {
  TransferEnd end;
  if (request_.head_only && head_delivered_)
    code = CURLE_OK;
  end.code = CodeOfEnd(code);
  if (code != CURLE_OK)
    end.detail = error_[0] ? error_ : curl_easy_strerror(code);
  if (!fault_.empty())
    end.detail = fault_;
  if (head_delivered_) {
    end.status = status();
  } else if (code == CURLE_OK) {
    // libcurl takes a head without its empty line for a whole answer.
    end.code = ResultCode::kConnectionLost;
    end.detail = "the connection ended inside the head of the response";
  }
  if (end.code == ResultCode::kOk && EndsBeforeRequest()) {
    end.code = ResultCode::kConnectionLost;
    end.detail = "the connection ended before the request was sent";
  }
  long request_bytes = 0;
  curl_easy_getinfo(easy(), CURLINFO_REQUEST_SIZE, &request_bytes);
  end.may_have_been_sent = request_bytes > 0;
  handler_->OnEnd(end);
}

bool Transfer::EndsBeforeRequest() const {
  const bool has_body = status() != 204 && status() != 304 &&
                        request_.method != "HEAD" && !request_.head_only;
  if (!has_body || head_.is_framed())
    return false;
  curl_off_t uploaded = 0;
  curl_easy_getinfo(easy(), CURLINFO_SIZE_UPLOAD_T, &uploaded);
  return uploaded < static_cast<curl_off_t>(body().size());
}

void Transfer::Configure() {
  CURL* easy = easy_.get();
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_URL, request_.url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, error_);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, kSendBufferBytes);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   CurlMilliseconds(request_.connect_timeout));
  if (request_.total_timeout > Duration::zero())
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     CurlMilliseconds(request_.total_timeout));
  if (!request_.source_address.empty())
    // The prefix keeps libcurl from looking for an interface of this name.
    curl_easy_setopt(easy, CURLOPT_INTERFACE,
                     ("host!" + request_.source_address).c_str());
  if (request_.fresh_connection)
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  if (request_.close_connection)
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  if (!request_.target.empty())
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request_.target.c_str());
  ConfigureBody();
  ConfigureHeaders();
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Transfer::OnSocketOpened);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION,
                   &Transfer::OnSocketClosed);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &unanswered_sockets_);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Transfer::OnConnectionChosen);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Transfer::OnHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
}

void Transfer::ConfigureTls(const TlsFiles& tls) {
  CURL* easy = easy_.get();
  const std::string& ca = request_.ca_file.empty() ? tls.ca : request_.ca_file;
  if (!ca.empty())
    curl_easy_setopt(easy, CURLOPT_CAINFO, ca.c_str());
  // libcurl keeps trust anchors for a day otherwise.
  curl_easy_setopt(easy, CURLOPT_CA_CACHE_TIMEOUT, 0L);
  curl_easy_setopt(easy, CURLOPT_SSLVERSION,
                   static_cast<long>(CURL_SSLVERSION_TLSv1_2));
  if (!tls.enabled())
    return;
  curl_easy_setopt(easy, CURLOPT_SSLCERT, tls.certificate.c_str());
  curl_easy_setopt(easy, CURLOPT_SSLKEY, tls.key.c_str());
}

void Transfer::ConfigureBody() {
  const std::string& body = this->body();
  if (request_.method == "GET" && body.empty())
    return;
  if (request_.method == "HEAD") {
    curl_easy_setopt(easy(), CURLOPT_NOBODY, 1L);
    return;
  }
  curl_easy_setopt(easy(), CURLOPT_POSTFIELDS, body.data());
  curl_easy_setopt(easy(), CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(body.size()));
  curl_easy_setopt(easy(), CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

void Transfer::ConfigureHeaders() {
  curl_slist* list = nullptr;
  for (const Header& header : request_.headers) {
    // libcurl drops a header that ends with its colon.
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    list = curl_slist_append(list, line.c_str());
  }
  // Without this libcurl waits a second for "100 Continue" on large bodies.
  list = curl_slist_append(list, "Expect:");
  if (request_.omit_content_type)
    list = curl_slist_append(list, "Content-Type:");
  headers_list_.reset(list);
  curl_easy_setopt(easy(), CURLOPT_HTTPHEADER, list);
}

ResultCode Transfer::CodeOfEnd(CURLcode code) const {
  long socket_error = 0;
  curl_easy_getinfo(easy(), CURLINFO_OS_ERRNO, &socket_error);
  const bool malformed = code == CURLE_RECV_ERROR && socket_error == 0;
  return malformed ? ResultCode::kProtocolError : CodeOf(code);
}

bool Transfer::CountBytes(size_t bytes,
                          size_t bound,
                          const char* part,
                          size_t* received) {
  *received += bytes;
  if (bound == 0 || *received <= bound)
    return true;
  fault_ = std::string("the response ") + part + " exceeds " +
           std::to_string(bound) + " bytes";
  return false;
}

int Transfer::status() const {
  long status = 0;
  curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
  return static_cast<int>(status);
}

void Transfer::DeliverHead() {
  if (head_delivered_)
    return;
  head_delivered_ = true;
  unanswered_sockets_.Remove(socket_);
  handler_->OnHead(status(), head_.headers());
}

bool Transfer::IsQuiet(curl_socket_t socket) const {
  // A TLS record may hold bytes behind those that libcurl has read.
  curl_tlssessioninfo* tls = nullptr;
  curl_easy_getinfo(easy(), CURLINFO_TLS_SSL_PTR, &tls);
  if (tls && tls->backend == CURLSSLBACKEND_OPENSSL && tls->internals &&
      SSL_has_pending(static_cast<SSL*>(tls->internals)))
    return false;
  char byte = 0;
  const ssize_t received =
      recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

int Transfer::OnSocketOpened(void* self,
                             curl_socket_t socket,
                             curlsocktype purpose) {
  auto* transfer = static_cast<Transfer*>(self);
  transfer->socket_ = socket;
  const Duration timeout = transfer->request_.delivery_timeout;
  if (timeout > Duration::zero())
    transfer->unanswered_sockets_.AddWithTimeout(socket, timeout);
  else
    transfer->unanswered_sockets_.Add(socket);
  return CURL_SOCKOPT_OK;
}

int Transfer::OnSocketClosed(void* unanswered_sockets, curl_socket_t socket) {
  return static_cast<UnansweredSockets*>(unanswered_sockets)->Close(socket);
}

int Transfer::OnConnectionChosen(void* self,
                                 char* remote_address,
                                 char* local_address,
                                 int remote_port,
                                 int local_port) {
  auto* transfer = static_cast<Transfer*>(self);
  long new_connections = 0;
  curl_easy_getinfo(transfer->easy(), CURLINFO_NUM_CONNECTS, &new_connections);
  if (new_connections > 0)
    return CURL_PREREQFUNC_OK;
  const std::optional<curl_socket_t> socket = transfer->idle_sockets_.Find(
      local_address, local_port, remote_address, remote_port);
  if (socket && transfer->IsQuiet(*socket)) {
    transfer->socket_ = *socket;
    transfer->unanswered_sockets_.Add(*socket);
    return CURL_PREREQFUNC_OK;
  }
  transfer->connection_is_stale_ = true;
  return CURL_PREREQFUNC_ABORT;
}

bool Transfer::ReadHeadLine(std::string_view line) {
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
    line.remove_suffix(1);
  // A status line also follows an interim response.
  if (!head_.is_open() && line.substr(0, 5) == "HTTP/") {
    const Status opened = head_.Open(line);
    if (!opened.ok())
      fault_ = opened.error().message;
    return opened.ok();
  }
  // Trailers do not frame the response.
  if (head_delivered_)
    return true;
  if (line.empty()) {
    head_.Close();
    if (status() >= 200)
      DeliverHead();
    return !(head_delivered_ && request_.head_only);
  }
  const Status added = head_.Add(line);
  if (!added.ok())
    fault_ = added.error().message;
  return added.ok();
}

template <typename Function>
bool Transfer::Deliver(Function function) {
  try {
    return function();
  } catch (const std::exception& fault) {
    fault_ = std::string("failed to handle the response: ") + fault.what();
    return false;
  }
}

size_t Transfer::OnHeaderLine(char* data,
                              size_t size,
                              size_t count,
                              void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  transfer->last_received_at_ = transfer->timers_.Now();
  if (!transfer->CountBytes(size * count, transfer->request_.max_head_bytes,
                            "head", &transfer->head_bytes_))
    return 0;  // aborts the transfer
  const std::string_view line(data, size * count);
  // The last line of a connection that ends inside the head.
  if (line.back() != '\n')
    return size * count;
  return transfer->Deliver([&] { return transfer->ReadHeadLine(line); })
             ? size * count
             : 0;
}

size_t Transfer::OnBody(char* data, size_t size, size_t count, void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  transfer->last_received_at_ = transfer->timers_.Now();
  if (!transfer->CountBytes(size * count, transfer->request_.max_body_bytes,
                            "body", &transfer->body_bytes_))
    return 0;  // aborts the transfer
  const bool delivered = transfer->Deliver([&] {
    transfer->handler_->OnData(std::string_view(data, size * count));
    return true;
  });
  return delivered ? size * count : 0;
}

}  // namespace teaselhill::net
