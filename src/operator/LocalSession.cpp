#include "operator/LocalSession.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace redwing::Detail {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kGatewayTimeout = 504;
constexpr std::size_t kDiscardBytes = std::size_t{ 16 } * 1024;
/// Time for a client to read the last reply and close.
constexpr std::chrono::seconds kLingerTime{ 2 };

} // namespace

struct LocalSession::State
{
  State(std::shared_ptr<LocalListener> aListener, boost::asio::ip::tcp::socket aSocket)
    : listener_(std::move(aListener))
    , stream_(std::move(aSocket))
    , handlerTimer_(listener_->Context())
  {
  }

  std::shared_ptr<LocalListener> listener_;
  beast::tcp_stream stream_;
  boost::asio::steady_timer handlerTimer_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  std::string remote_;
  bool keepAlive_ = false;
  /// Number of the request being handled; a reply for another number is late and dropped.
  std::uint64_t sequence_ = 0;
  bool waiting_ = false;
};

LocalSession::LocalSession(std::shared_ptr<LocalListener> aListener,
                           boost::asio::ip::tcp::socket aSocket)
  : state_(std::make_unique<State>(std::move(aListener), std::move(aSocket)))
{
  boost::system::error_code error;
  const auto endpoint = state_->stream_.socket().remote_endpoint(error);
  if (!error) {
    state_->remote_ = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }
}

LocalSession::~LocalSession() = default;

void
LocalSession::Start()
{
  Read();
}

void
LocalSession::Close()
{
  state_->waiting_ = false;
  state_->handlerTimer_.cancel();
  state_->stream_.close();
}

void
LocalSession::Read()
{
  const auto& settings = state_->listener_->Settings();
  state_->parser_.emplace();
  state_->parser_->header_limit(settings.headerBytes_);
  state_->parser_->body_limit(settings.bodyBytes_);
  state_->stream_.expires_after(settings.ioTimeout_);
  http::async_read(state_->stream_,
                   state_->buffer_,
                   *state_->parser_,
                   [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                     if (aError) {
                       self->OnReadError(aError);
                     } else {
                       self->OnRequest();
                     }
                   });
}

void
LocalSession::OnReadError(const boost::system::error_code& aError)
{
  unsigned status = 0;
  if (aError == http::error::body_limit) {
    status = kBodyTooLarge;
  } else if (aError == http::error::header_limit) {
    status = kHeaderTooLarge;
  } else if (aError.category() == make_error_code(http::error::bad_version).category() &&
             aError != http::error::end_of_stream && aError != http::error::partial_message) {
    status = kBadRequest;
  }
  if (status == 0) {
    state_->stream_.close();
    return;
  }
  state_->keepAlive_ = false;
  state_->waiting_ = true;
  Respond(++state_->sequence_, ProblemReply(status, "bad_request", aError.message()));
}

void
LocalSession::OnRequest()
{
  auto message = state_->parser_->release();
  state_->keepAlive_ = message.keep_alive();
  const LocalRequest request{ std::string(message.method_string()),
                              std::string(message.target()),
                              std::move(message.body()),
                              std::string(message[http::field::authorization]),
                              std::string(message["Redwing-Operator"]),
                              state_->remote_ };
  const std::uint64_t sequence = ++state_->sequence_;
  state_->waiting_ = true;
  state_->stream_.expires_never();
  StartHandlerTimer(sequence);
  boost::asio::io_context& context = state_->listener_->Context();
  state_->listener_->Handler()(
    request, [weak = weak_from_this(), sequence, &context](LocalReply aReply) {
      boost::asio::post(context, [weak, sequence, reply = std::move(aReply)]() mutable {
        if (const auto self = weak.lock()) {
          self->Respond(sequence, std::move(reply));
        }
      });
    });
}

void
LocalSession::StartHandlerTimer(std::uint64_t aSequence)
{
  // The timer keeps the session alive while no read or write does.
  state_->handlerTimer_.expires_after(state_->listener_->Settings().handlerTimeout_);
  state_->handlerTimer_.async_wait(
    [self = shared_from_this(), aSequence](boost::system::error_code aError) {
      if (!aError) {
        self->Respond(aSequence,
                      ProblemReply(kGatewayTimeout, "outcome_unknown", "no result in time"));
      }
    });
}

void
LocalSession::Respond(std::uint64_t aSequence, LocalReply aReply)
{
  if (!state_->waiting_ || aSequence != state_->sequence_) {
    return;
  }
  state_->waiting_ = false;
  state_->handlerTimer_.cancel();
  constexpr unsigned kHttp11 = 11;
  http::response<http::string_body> response;
  response.version(kHttp11);
  response.result(aReply.status_);
  response.set(http::field::content_type, aReply.contentType_);
  response.set(http::field::cache_control, "no-store");
  if (aReply.status_ == kUnauthorized) {
    response.set(http::field::www_authenticate, "Bearer");
  }
  response.keep_alive(state_->keepAlive_);
  response.body() = std::move(aReply.body_);
  response.prepare_payload();
  state_->response_ = std::move(response);
  Write();
}

void
LocalSession::Write()
{
  state_->stream_.expires_after(state_->listener_->Settings().ioTimeout_);
  http::async_write(state_->stream_,
                    state_->response_,
                    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
                      if (aError) {
                        self->state_->stream_.close();
                      } else if (self->state_->keepAlive_) {
                        self->Read();
                      } else {
                        boost::system::error_code ignored;
                        self->state_->stream_.socket().shutdown(
                          boost::asio::ip::tcp::socket::shutdown_send, ignored);
                        self->state_->stream_.expires_after(kLingerTime);
                        self->Discard();
                      }
                    });
}

void
LocalSession::Discard()
{
  // Closing a socket with unread data resets the connection, and the client would lose the reply.
  state_->buffer_.clear();
  state_->stream_.async_read_some(
    state_->buffer_.prepare(kDiscardBytes),
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (aError) {
        self->state_->stream_.close();
      } else {
        self->Discard();
      }
    });
}

} // namespace redwing::Detail
