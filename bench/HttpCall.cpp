#include "HttpCall.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace redwing::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

CallResult
Call(const Address& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody,
     const std::vector<HttpHeader>& aHeaders,
     int aLimitMs)
{
  asio::io_context io;
  beast::tcp_stream stream(io);
  stream.expires_after(std::chrono::milliseconds(aLimitMs));
  http::request<http::string_body> request;
  request.method_string(aMethod);
  request.target(aTarget);
  request.set(http::field::host, aAddress.ToString());
  request.set(http::field::content_type, "application/json");
  for (const auto& header : aHeaders) {
    request.set(header.name_, header.value_);
  }
  request.body() = aBody;
  request.prepare_payload();
  request.keep_alive(false);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  CallResult result;
  asio::ip::tcp::endpoint endpoint(asio::ip::make_address(aAddress.ip_), aAddress.port_);
  auto onRead = [&](Error aError, std::size_t) {
    if (!aError) {
      result = { response.result_int(), std::move(response.body()) };
    }
  };
  auto onWrite = [&](Error aError, std::size_t) {
    if (!aError) {
      http::async_read(stream, buffer, response, onRead);
    }
  };
  stream.async_connect(endpoint, [&](Error aError) {
    if (!aError) {
      http::async_write(stream, request, onWrite);
    }
  });
  io.run();
  return result;
}

} // namespace redwing::bench
