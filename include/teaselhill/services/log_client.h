/// \file
/// Client of the append-only log service.

#ifndef TEASELHILL_SERVICES_LOG_CLIENT_H_
#define TEASELHILL_SERVICES_LOG_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "teaselhill/net/http_client.h"
#include "teaselhill/support/answer_monitor.h"
#include "teaselhill/support/ids.h"
#include "teaselhill/support/result.h"
#include "teaselhill/support/time.h"

namespace teaselhill::services {

struct LogRecord {
  LogOffset offset = 0;
  WallTime time{};   ///< time of the append by the log's clock
  std::string data;  ///< JSON text
};

/// Answer to a read.
struct LogPage {
  LogOffset first_retained = 0;  ///< lowest offset that the stream retains
  LogOffset next_offset = 0;     ///< offset of the next record to be appended
  std::vector<LogRecord> records;
};

/// Parameters of a read.
struct LogRead {
  std::string stream;
  LogOffset from = 0;
  size_t limit = 256;  ///< maximum number of records
  Duration wait{};  ///< long poll: how long the log may delay an empty answer
  /// Timeout of the answer, in addition to the wait. A page may be large.
  Duration answer_timeout = std::chrono::seconds(5);
};

using AppendCallback = std::function<void(Result<LogOffset>)>;
using ReadCallback = std::function<void(Result<LogPage>)>;

/// Callbacks run on the event loop's thread. Callbacks that are pending when
/// the client is destroyed are not run.
class LogClient {
 public:
  virtual ~LogClient() = default;

  /// Appends JSON texts as consecutive records and passes the offset of the
  /// first record to `callback`. kAppendUnknown: the records may have been
  /// appended; the caller must read the stream to find out. kLogRateLimited and
  /// kLogUnavailable: nothing was appended.
  virtual void Append(const std::string& stream,
                      std::vector<std::string> records,
                      AppendCallback callback) = 0;

  /// Reads records from offset `read.from`. kOffsetDropped: that offset is no
  /// longer retained. kLogUnavailable: the log cannot be reached or returned an
  /// error status. kProtocolError: the answer cannot be parsed.
  virtual void Read(const LogRead& read, ReadCallback callback) = 0;

  /// Reads the range of offsets that a stream retains, as a page without
  /// records. Errors as for Read().
  void ReadBounds(const std::string& stream, ReadCallback callback);

  /// Told of the answers to reads and appends.
  AnswerMonitor& monitor() { return monitor_; }

 private:
  AnswerMonitor monitor_;
};

/// LogClient over HTTP. An idle long poll costs 281 bytes of HTTP, that is
/// 11 B/s at a wait of 25 s. A change costs the size of its record and one
/// poll.
class HttpLogClient : public LogClient {
 public:
  /// `base_url` has the form `http://127.0.0.1:7000`. An empty
  /// `source_address` leaves the choice to the system. `client` must outlive
  /// this object.
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
