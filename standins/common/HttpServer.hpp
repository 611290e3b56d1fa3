#pragma once

#include "core/Address.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Small HTTP/1.1 server shared by the test servers.
namespace redwing::standins {

struct HttpHeader
{
  std::string name_;
  std::string value_;
};

struct HttpRequest
{
  std::string method_;
  std::string target_;
  std::string path_;
  std::string body_;
  std::vector<HttpHeader> headers_{};

  /// Returns the value of the header, empty if it is absent; names compare without case.
  std::string_view Header(std::string_view aName) const;
  /// Returns a query parameter as a number.
  std::int64_t Query(std::string_view aName, std::int64_t aDefault) const;
};

struct HttpResponse
{
  unsigned status_ = 200;
  std::string body_;
  std::string contentType_ = "application/json";
  std::vector<HttpHeader> headers_{};
};

/// One request and the means to answer it. Only used on the thread of the io_context.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// Sends the whole response; later calls have no effect.
  virtual void Respond(HttpResponse aResponse) = 0;
  /// Sends the head and the body so far as the first chunk.
  virtual void StartStream(HttpResponse aHead) = 0;
  /// Precondition: StartStream was called.
  virtual void Write(std::string aChunk) = 0;
  /// Precondition: StartStream was called.
  virtual void Finish() = 0;
  /// Closes the connection at once.
  virtual void Close() = 0;
  virtual bool Open() const = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

namespace Detail {
class HttpServerState;
}

/// Accepts connections and hands each request to a handler. Not thread-safe.
class HttpServer
{
public:
  using Handler = std::function<void(HttpExchangePtr)>;

  /// aConnectionLimit 0 means no limit; connections beyond it are closed when accepted.
  HttpServer(boost::asio::io_context& aIo,
             Address aAddress,
             Handler aHandler,
             std::size_t aConnectionLimit = 0);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to listen; throws when the address is in use.
  void Listen();
  /// Closes the listener; open connections go on.
  void StopListening();
  /// Closes the listener and every connection.
  void Close();
  /// Makes every open connection silent without closing it; new connections work.
  void StallConnections();

private:
  std::shared_ptr<Detail::HttpServerState> state_;
};

/// Returns the nanoseconds of CLOCK_MONOTONIC.
std::int64_t MonotonicNs();

/// Returns the deterministic printable body of aLength bytes that belongs to a load id.
std::string ExpectedBody(std::string_view aLoadId, std::size_t aLength);

/// Parses an address flag; ends the program with exit code 2 when it is invalid.
Address RequireAddress(const std::string& aText, std::string_view aFlag);

} // namespace redwing::standins
