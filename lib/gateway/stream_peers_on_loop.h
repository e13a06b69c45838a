/// \file
/// Streams of other hosts, as the traffic thread uses them.

#ifndef TEASELHILL_LIB_GATEWAY_STREAM_PEERS_ON_LOOP_H_
#define TEASELHILL_LIB_GATEWAY_STREAM_PEERS_ON_LOOP_H_

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "teaselhill/gateway/peer_streams.h"
#include "teaselhill/gateway/protocol.h"
#include "teaselhill/gateway/stream_log.h"
#include "teaselhill/net/event_loop.h"

namespace teaselhill::gateway {

/// Passes calls of the traffic thread to the streams, the source and the
/// stream log of the control thread, and the results back.
class StreamPeersOnLoop : public StreamPeers {
 public:
  StreamPeersOnLoop(net::EventLoop& traffic,
                    net::EventLoop& control,
                    PeerStreams& streams,
                    StateSource& source,
                    StreamLog& log)
      : traffic_loop_(traffic),
        control_loop_(control),
        streams_(streams),
        source_(source),
        log_(log) {}

  void Append(std::vector<StreamRecord> records) override {
    control_loop_.Post(
        [this, records = std::move(records)] { log_.Append(records); });
  }

  void Publish(std::vector<StreamRecord> records,
               Duration log_timeout,
               std::function<void()> done) override {
    control_loop_.Post([this, records = std::move(records), log_timeout, done] {
      const auto parts_missing = std::make_shared<int>(2);
      const auto on_part = [this, parts_missing, done] {
        if (--*parts_missing == 0)
          traffic_loop_.Post(done);
      };
      streams_.Publish(records, on_part);
      log_.WhenKept(log_timeout, on_part);
    });
  }

  void ReadLog(std::function<void()> done) override {
    control_loop_.Post([this, done] {
      log_.Read(kLogReadTimeout, [this, done] { traffic_loop_.Post(done); });
    });
  }

  void Ask(StreamQuery query,
           std::function<void(StreamEvidence)> done) override {
    control_loop_.Post([this, query = std::move(query), done] {
      streams_.Ask(query, [this, done](StreamEvidence evidence) {
        if (evidence.has_record())
          return Return(std::move(evidence), done);
        source_.ReadUpstreams(
            kReadTimeout,
            [this, done, evidence = std::move(evidence)](bool read) mutable {
              evidence.upstreams_read = read;
              Return(std::move(evidence), done);
            });
      });
    });
  }

 private:
  /// A host that has started reads the records of some seconds of all hosts.
  static constexpr std::chrono::seconds kLogReadTimeout{1};

  /// The store answers within milliseconds.
  static constexpr std::chrono::milliseconds kReadTimeout{150};

  void Return(StreamEvidence evidence,
              const std::function<void(StreamEvidence)>& done) {
    traffic_loop_.Post([done, evidence = std::move(evidence)]() mutable {
      done(std::move(evidence));
    });
  }

  net::EventLoop& traffic_loop_;
  net::EventLoop& control_loop_;
  PeerStreams& streams_;
  StateSource& source_;
  StreamLog& log_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_LIB_GATEWAY_STREAM_PEERS_ON_LOOP_H_
