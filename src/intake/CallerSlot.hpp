#pragma once

#include "core/Clock.hpp"
#include "intake/RequestParser.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace redwing::Detail {

class CallerConnection;
class Exchange;
class IntakeCore;

/// One request on a caller's connection, from its head to the end of its response. Responses leave
/// in the order of the requests; the response of a later one waits here. Intake thread only.
class CallerSlot
{
public:
  /// aArrived is when the head of the request had arrived.
  CallerSlot(IntakeCore& aCore, CallerConnection& aConnection, TimePoint aArrived);
  ~CallerSlot();
  CallerSlot(const CallerSlot&) = delete;
  CallerSlot& operator=(const CallerSlot&) = delete;

  /// Buffer for bytes to the caller; Flush sends them. aBodyBytes of them are response body.
  std::string& Out();
  void Flush(std::size_t aBodyBytes);

  /// The response is complete in Out(); the connection goes on to the next request or closes.
  void EndResponse();

  /// Discards the response unless a byte of it was passed to the system; returns whether it did.
  /// Another response may then take its place.
  bool DiscardResponse();

  /// Resets the connection in place of the rest of the response, so that the caller cannot take it
  /// for complete. Earlier responses are delivered first.
  ///
  /// Preconditions: DiscardResponse returned false, or the request is the first in turn.
  void AbortResponse();

  /// Returns whether the caller has left. The connection is then closed, and the exchange was told.
  bool CallerLeft();

  /// The exchange can take more request body.
  void ResumeBody();

  /// Decides whether the connection stays open after this response.
  bool KeepsAlive();

  bool SpeaksHttp11() const;

  /// Returns whether nothing was read from the connection before this request.
  bool IsFirstOfConnection() const { return first_; }

private:
  friend class CallerConnection;

  CallerConnection& connection_;
  RequestParser parser_;
  std::unique_ptr<Exchange> exchange_;
  bool first_ = false;
  /// The request was handed to its exchange.
  bool begun_ = false;
  bool bodyDone_ = true;
  bool responseDone_ = false;
  /// The response says that it is the last one on the connection.
  bool closes_ = false;
  /// Bytes of a response that must wait for earlier ones.
  std::string waiting_;
  std::size_t waitingBody_ = 0;
};

} // namespace redwing::Detail
