/// \file
/// Tells other hosts which software version began a stream, and asks them.

#ifndef TEASELHILL_GATEWAY_PEER_STREAMS_H_
#define TEASELHILL_GATEWAY_PEER_STREAMS_H_

#include <functional>
#include <string>
#include <vector>

#include "teaselhill/gateway/peer_exchange.h"
#include "teaselhill/gateway/stream_versions.h"

namespace teaselhill::gateway {

struct PeerStreamsOptions {
  /// Hosts that keep a record. All hosts derive the same ones from the id of
  /// the attempt, so that the cost does not grow with the fleet.
  size_t holders = 3;
  /// Hosts that are asked for a record. More than keep it, since hosts may
  /// differ for a while in which hosts they know.
  size_t asked = 8;
  Duration timeout = std::chrono::milliseconds(150);
};

/// Used on the event loop of its PeerExchange, which must outlive it.
class PeerStreams {
 public:
  PeerStreams(PeerExchange& exchange,
              StreamVersions& versions,
              PeerStreamsOptions options = {});

  /// `done`: a host has confirmed a record, or none has within the timeout.
  void Publish(const std::vector<StreamRecord>& records,
               std::function<void()> done);

  /// What the other hosts know, without StreamEvidence::upstreams_read. Ends at
  /// once with an answer of the kind kRecorded.
  void Ask(const StreamQuery& query, std::function<void(StreamEvidence)> done);

 private:
  Result<std::string> OnRecords(const std::string& body);
  Result<std::string> OnQuery(const std::string& body);

  PeerExchange& exchange_;
  StreamVersions& versions_;
  PeerStreamsOptions options_;
};

}  // namespace teaselhill::gateway

#endif  // TEASELHILL_GATEWAY_PEER_STREAMS_H_
