#include "ctl/HttpTransport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <utility>

namespace redwing::ctl {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kConnectTimeout{ 2 };
/// Longer than the time an instance gives its handlers (15 s), so that its answer arrives.
constexpr std::chrono::seconds kReplyTimeout{ 20 };

/// One request to one instance.
class Exchange
{
public:
  Exchange(const Address& aAddress, const CtlSettings& aSettings, const CtlCall& aCall)
    : address_(aAddress)
    , stream_(context_)
  {
    constexpr unsigned kHttp11 = 11;
    request_.version(kHttp11);
    request_.method_string(aCall.method_);
    request_.target(aCall.target_);
    request_.set(http::field::host, aAddress.ToString());
    request_.set(http::field::connection, "close");
    request_.set(http::field::content_type, "application/json");
    if (!aSettings.operatorToken_.empty()) {
      request_.set(http::field::authorization, "Bearer " + aSettings.operatorToken_);
    }
    request_.set("Redwing-Operator", aSettings.operatorName_);
    request_.body() = aCall.body_;
    request_.prepare_payload();
    // Status of a large fleet is larger than the default limit of 8 MB.
    parser_.body_limit(std::numeric_limits<std::uint32_t>::max());
  }

  CtlResult Run()
  {
    stream_.expires_after(kConnectTimeout);
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address_v4(address_.ip_),
                                                  address_.port_);
    stream_.async_connect(endpoint, [this](boost::system::error_code aError) {
      error_ = aError;
      if (!aError) {
        Send();
      }
    });
    context_.run();
    if (error_) {
      return tl::unexpected(CtlError{ sent_, address_.ToString() + ": " + error_.message() });
    }
    auto reply = parser_.release();
    return CtlReply{ reply.result_int(), std::move(reply.body()) };
  }

private:
  void Send()
  {
    sent_ = true;
    stream_.expires_after(kReplyTimeout);
    http::async_write(stream_, request_, [this](boost::system::error_code aError, std::size_t) {
      // An instance may refuse a large body before it has read all of it, so the reply is read
      // in any case.
      http::async_read(stream_,
                       buffer_,
                       parser_,
                       [this, aError](boost::system::error_code aReadError, std::size_t) {
                         // Without a length the reply ends with the connection, whose end says
                         // nothing after an error.
                         const bool cut = aError && !aReadError && parser_.get().need_eof();
                         error_ = cut || (aReadError && aError) ? aError : aReadError;
                       });
    });
  }

  Address address_;
  boost::asio::io_context context_;
  beast::tcp_stream stream_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  beast::flat_buffer buffer_;
  boost::system::error_code error_;
  bool sent_ = false;
};

} // namespace

Transport
MakeHttpTransport(const CtlSettings& aSettings)
{
  return [settings = aSettings](const CtlCall& aCall) -> CtlResult {
    CtlError last{ false, "no instance given; set --instance or REDWING_INSTANCE" };
    for (const Address& address : settings.instances_) {
      CtlResult result = Exchange(address, settings, aCall).Run();
      if (result) {
        return result;
      }
      last = result.error();
      if (last.sent_ && aCall.method_ != "GET") {
        break;
      }
    }
    last.sent_ = last.sent_ && aCall.method_ != "GET";
    return tl::unexpected(std::move(last));
  };
}

} // namespace redwing::ctl
