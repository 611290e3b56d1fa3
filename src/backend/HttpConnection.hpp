#pragma once

#include "core/Address.hpp"
#include "core/Clock.hpp"
#include "exchange/Events.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwing {

/// A serialised HTTP/1.1 request head and the part of the body that is available already.
struct HttpRequest
{
  std::string head_;
  std::string body_;
  bool last_ = true;
  /// The body is sent with chunked transfer coding; otherwise the head states its length.
  bool chunked_ = false;
  /// The method is HEAD, whose responses have no body even if their head states a length.
  bool headMethod_ = false;
  /// Bytes of the response's body that are read before AddReadCredit allows more.
  std::size_t responseWindow_ = kBodyWindowBytes;
  /// Response header that echoes id_; empty if responses carry no id. A response with a different
  /// id is stale, because it belongs to an earlier request, and is discarded. So is one without an
  /// id once the server has echoed an id on the connection.
  std::string idHeader_;
  std::string id_;
  /// Nothing of the request is written if the connection opens only at this time or later.
  TimePoint writeBy_ = TimePoint::max();
};

struct HttpHead
{
  std::uint16_t status_ = 0;
  HeaderList headers_;
  std::optional<std::uint64_t> contentLength_;
  /// False if the response should carry the id of its request and carries none: it may be a copy of
  /// an earlier response.
  bool identified_ = true;
};

/// How far an exchange got before its connection failed.
struct HttpFailure
{
  bool connected_ = false;
  /// The connection was refused: nothing listens at the address.
  bool refused_ = false;
  /// Part of the request was passed to the socket.
  bool wrote_ = false;
  /// A byte of the response was received.
  bool responseStarted_ = false;
  /// The connection had carried an earlier exchange or was opened in advance.
  bool reused_ = false;
  /// The connection failed or the server closed it, as opposed to a call of Close.
  bool closedByServer_ = false;
};

/// Receives the events of one exchange on a connection.
class HttpObserver
{
public:
  virtual ~HttpObserver() = default;
  virtual void OnResponse(HttpHead&& aHead, std::string&& aBody, bool aLast) = 0;
  virtual void OnResponseBody(std::string&& aBytes, bool aLast) = 0;
  /// Called when aBytes of the request's body were written.
  virtual void OnRequestWritten(std::size_t aBytes) = 0;
  /// Called last if the response did not complete.
  virtual void OnFailed(const HttpFailure& aFailure) = 0;
};

/// One keep-alive connection to the backend server. Backend thread only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(boost::asio::io_context& aContext, Address aAddress, const Clock& aClock);
  ~HttpConnection();

  /// Connects in advance, without sending a request.
  ///
  /// Preconditions: no other method was called before. Thread safety: backend thread only.
  void Warm();

  /// Bounds what the system holds for the connection; 0: as the system does by itself.
  ///
  /// Preconditions: before Warm and Start. Thread safety: backend thread only.
  void SetSocketBuffers(int aBytes) { socketBufferBytes_ = aBytes; }

  /// Sends aRequest, connecting first if necessary.
  ///
  /// Preconditions: Idle() is true. Thread safety: backend thread only.
  void Start(HttpRequest&& aRequest, std::shared_ptr<HttpObserver> aObserver);

  /// Sends a further part of the request's body.
  ///
  /// Preconditions: Start was called with last_ false, and the last part was not sent yet. Thread
  /// safety: backend thread only.
  void SendBody(std::string&& aBytes, bool aLast);

  /// Allows another aBytes of the response's body to be read; reading pauses without credit.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void AddReadCredit(std::size_t aBytes);

  /// Closes the connection; the observer of an open exchange gets OnFailed.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void Close();

  /// Sets the hook called once when the connection closes, before the observer's OnFailed.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void SetClosedHook(std::function<void()> aHook) { closedHook_ = std::move(aHook); }

  /// Returns whether the connection is not closed and carries no exchange.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  bool Idle() const { return state_ != State::Closed && !observer_; }
  bool Closed() const { return state_ == State::Closed; }
  /// Returns whether an open exchange waits for the server: all parts of its request were passed to
  /// this connection, and there is credit to read the response.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  bool AwaitsServer() const { return observer_ && readCredit_ > 0 && requestComplete_; }
  TimePoint LastProgress() const { return lastProgress_; }
  const Address& Target() const { return address_; }

private:
  enum class State
  {
    New,
    Connecting,
    Open,
    Closed,
  };
  class Reader;

  void Connect();
  void Read();
  void OnRead(std::size_t aBytes);
  /// Discards the body read so far if the response is stale; returns false if too many bytes were
  /// discarded.
  bool DiscardStaleBody();
  void Deliver();
  void OnEnd(bool aClean);
  void Write();
  void AppendBody(std::string&& aBytes, bool aLast);
  void Fail(bool aClosedByServer);

  boost::asio::ip::tcp::socket socket_;
  Address address_;
  int socketBufferBytes_ = 0;
  const Clock& clock_;
  State state_ = State::New;
  std::shared_ptr<HttpObserver> observer_;
  std::unique_ptr<Reader> reader_;
  std::function<void()> closedHook_;
  std::vector<char> input_;
  std::size_t inputBytes_ = 0;
  std::string pending_;
  std::string writing_;
  std::size_t pendingBody_ = 0;
  std::size_t writingBody_ = 0;
  std::size_t readCredit_ = kBodyWindowBytes;
  TimePoint lastProgress_;
  TimePoint writeBy_ = TimePoint::max();
  std::string idHeader_;
  std::string id_;
  /// The server has echoed an id on this connection.
  bool echoesId_ = false;
  std::size_t staleBytes_ = 0;
  HttpFailure progress_;
  bool used_ = false;
  bool reading_ = false;
  /// A write failed, so that an end of the connection says nothing about the response.
  bool writeFailed_ = false;
  bool writeActive_ = false;
  bool chunked_ = false;
  bool headMethod_ = false;
  bool requestComplete_ = false;
  bool headDelivered_ = false;
};

} // namespace redwing
