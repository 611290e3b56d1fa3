#pragma once

#include "core/Clock.hpp"
#include "intake/RequestParser.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwing::Detail {

class Exchange;
class IntakeCore;

/// One connection of a caller. Requests on it are served one after the other; while one is served,
/// bytes of later ones wait in a bounded buffer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  using OnClosed = std::function<void(CallerConnection&)>;

  CallerConnection(IntakeCore& aCore, boost::asio::ip::tcp::socket aSocket, OnClosed aOnClosed);
  ~CallerConnection();

  /// Starts reading.
  ///
  /// Preconditions: called once. Thread safety: intake thread only, like all functions here.
  void Start();

  /// Closes at once and cancels a request in progress.
  void Close();

  /// Enforces the time limits; called about once a second.
  void Sweep(TimePoint aNow);

  /// Closes the connection unless a request is being served or has begun to arrive.
  void CloseIfIdle();

  /// Buffer for bytes to the caller; Flush sends them. aBodyBytes of them are response body.
  std::string& Out() { return out_; }
  void Flush(std::size_t aBodyBytes);

  /// The response is complete in Out(); the connection goes on to the next request or closes.
  void EndResponse();

  /// Resets the connection, so that the caller cannot take the response for complete.
  void AbortResponse();

  /// The exchange can take more request body.
  void ResumeBody();

  /// Returns whether the connection stays open after the current response.
  bool KeepsAlive() const;

  bool SpeaksHttp11() const { return parser_ && parser_->version_ > kHttp10; }

private:
  static constexpr int kHttp10 = 10;

  void Pump();
  bool Step();
  bool NextRequest();
  bool ParseHead();
  bool ParseBody();
  void BeginExchange();
  void RejectHead(const char* aFault);
  void ReadMore();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  bool MakeRoom();
  void Write();
  void OnWritten(const boost::system::error_code& aError);
  void BeginClosing();
  std::string_view Unread() const { return { buffer_.data() + begin_, end_ - begin_ }; }

  IntakeCore& core_;
  boost::asio::ip::tcp::socket socket_;
  OnClosed onClosed_;
  std::vector<char> buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::size_t scanned_ = 0;
  std::optional<RequestParser> parser_;
  std::unique_ptr<Exchange> exchange_;
  bool bodyDone_ = true;
  bool responseDone_ = false;
  bool pumping_ = false;
  bool pumpAgain_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool closing_ = false;
  bool closed_ = false;
  std::string out_;
  std::string inFlight_;
  std::size_t outBody_ = 0;
  std::size_t inFlightBody_ = 0;
  TimePoint lastRead_;
  TimePoint lastWrite_;
};

} // namespace redwing::Detail
