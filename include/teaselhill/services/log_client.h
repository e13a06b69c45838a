/// \file
/// Client of the append-only log service.

#ifndef TEASELHILL_SERVICES_LOG_CLIENT_H_
#define TEASELHILL_SERVICES_LOG_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/net/http_client.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::services {

struct LogRecord {
  LogOffset offset = 0;
  WallTime time{};   ///< the log's time of the append
  std::string data;  ///< JSON text
};

struct LogPage {
  LogOffset first_retained = 0;
  LogOffset next_offset = 0;  ///< offset that the next append gets
  std::vector<LogRecord> records;
};

struct LogRead {
  std::string stream;
  LogOffset from = 0;
  size_t limit = 256;
  Duration wait{};  ///< how long the log may hold an empty answer back
};

using AppendCallback = std::function<void(Result<LogOffset>)>;
using ReadCallback = std::function<void(Result<LogPage>)>;

/// Callbacks run on the event loop's thread. Dropping the client drops them.
class LogClient {
 public:
  virtual ~LogClient() = default;

  /// Appends JSON texts as consecutive records; the result is the offset of the
  /// first. kAppendUnknown when the answer was lost after the request may have
  /// been sent: the caller settles it by reading. kLogRateLimited and
  /// kLogUnavailable mean that nothing was appended.
  virtual void Append(const std::string& stream,
                      std::vector<std::string> records,
                      AppendCallback callback) = 0;

  /// kOffsetDropped when `from` is no longer retained; kLogUnavailable,
  /// kProtocolError otherwise.
  virtual void Read(const LogRead& read, ReadCallback callback) = 0;

  /// Reads only the range of offsets that a stream retains: a page without
  /// records.
  void ReadBounds(const std::string& stream, ReadCallback callback);
};

/// One idle long poll costs 281 bytes of HTTP: 11 B/s at a wait of 25 s. A
/// change costs its record's size and one poll.
class HttpLogClient : public LogClient {
 public:
  /// `base_url` is such as `http://127.0.0.1:7000`; `source_address` may be
  /// empty. `client` must outlive this object.
  HttpLogClient(net::HttpClient& client,
                std::string base_url,
                std::string source_address = "");
  ~HttpLogClient() override;

  void Append(const std::string& stream,
              std::vector<std::string> records,
              AppendCallback callback) override;
  void Read(const LogRead& read, ReadCallback callback) override;

 private:
  std::string RecordsUrl(const std::string& stream) const;

  net::HttpClient& client_;
  std::string base_url_;
  std::string source_address_;
  /// Expires with this object; callbacks check it.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace teaselhill::services

#endif  // TEASELHILL_SERVICES_LOG_CLIENT_H_
