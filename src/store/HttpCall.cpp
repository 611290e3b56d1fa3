#include "store/HttpCall.hpp"

#include "core/Log.hpp"
#include "store/StoreHttp.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>
#include <utility>

namespace redwing::Detail {

namespace {

/// Above the largest range the product reads: the row chunks of one service.
constexpr std::size_t kReplyLimitBytes = std::size_t{ 64 } * 1024 * 1024;

constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;
/// Replies from this size on are logged with the time that they took.
constexpr std::size_t kLargeReplyBytes = std::size_t{ 256 } * 1024;

/// Returns the time that receiving a body may take beyond the time-out of the call.
std::chrono::milliseconds
ReceiveTime(std::uint64_t aBytes)
{
  // Small instances and a store that sends to a whole fleet at once are slow.
  constexpr std::uint64_t kSlowestBytesPerMs = 256;
  const std::uint64_t bytes = std::min<std::uint64_t>(aBytes, kReplyLimitBytes);
  return std::chrono::milliseconds(bytes / kSlowestBytesPerMs);
}

std::optional<std::uint64_t>
ParseEpoch(boost::beast::string_view aText)
{
  std::uint64_t epoch = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, epoch);
  return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(epoch) : std::nullopt;
}

} // namespace

struct HttpCall::State
{
  State(std::shared_ptr<HttpClient> aClient,
        HttpStoreRequest aRequest,
        StoreCallback<HttpStoreReply> aDone)
    : client_(std::move(aClient))
    , writes_(aRequest.writes_)
    , timeout_(aRequest.timeout_.value_or(client_->Settings().timeout_))
    , request_(MakeHttpRequest(std::move(aRequest), client_->Settings().address_))
    , done_(std::move(aDone))
    , stream_(client_->TakeConnection())
  {
    parser_.body_limit(kReplyLimitBytes);
  }

  std::shared_ptr<HttpClient> client_;
  bool writes_;
  std::chrono::milliseconds timeout_;
  StoreHttpRequest request_;
  StoreCallback<HttpStoreReply> done_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  /// When the head of the reply was complete.
  TimePoint headAt_{};
};

HttpCall::HttpCall(std::shared_ptr<HttpClient> aClient,
                   HttpStoreRequest aRequest,
                   StoreCallback<HttpStoreReply> aDone)
  : state_(std::make_unique<State>(std::move(aClient), std::move(aRequest), std::move(aDone)))
{
}

HttpCall::~HttpCall() = default;

void
HttpCall::Start()
{
  state_->stream_.expires_after(state_->timeout_);
  if (state_->stream_.socket().is_open()) {
    Send();
  } else {
    Connect();
  }
}

void
HttpCall::Cancel()
{
  state_->done_ = nullptr;
  state_->stream_.close();
}

bool
HttpCall::Receives() const
{
  return state_->headAt_ != TimePoint{};
}

void
HttpCall::Connect()
{
  state_->stream_.async_connect(ToEndpoint(state_->client_->Settings().address_),
                                [self = shared_from_this()](boost::system::error_code aError) {
                                  if (aError) {
                                    self->Fail(false, "connect: " + aError.message());
                                    return;
                                  }
                                  SetSocketOptions(self->state_->stream_.socket());
                                  self->Send();
                                });
}

void
HttpCall::Send()
{
  boost::beast::http::async_write(
    state_->stream_,
    state_->request_,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (aError) {
        self->Fail(true, "send: " + aError.message());
        return;
      }
      self->Read();
    });
}

void
HttpCall::Read()
{
  boost::beast::http::async_read_header(
    state_->stream_,
    state_->buffer_,
    state_->parser_,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (aError) {
        self->Fail(true, "receive: " + aError.message());
        return;
      }
      self->ReadBody();
    });
}

void
HttpCall::ReadBody()
{
  state_->headAt_ = state_->client_->Now();
  // The size of the buffer bounds what one read returns.
  const auto length = state_->parser_.content_length_remaining();
  state_->buffer_.reserve(length ? std::min<std::size_t>(*length, kReadBytes) : kReadBytes);
  state_->stream_.expires_after(state_->timeout_ + ReceiveTime(length.value_or(0)));
  boost::beast::http::async_read(
    state_->stream_,
    state_->buffer_,
    state_->parser_,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (aError) {
        self->Fail(true, "receive: " + aError.message());
        return;
      }
      self->Finish();
    });
}

void
HttpCall::Finish()
{
  if (!state_->done_) {
    return;
  }
  auto reply = state_->parser_.release();
  if (reply.body().size() >= kLargeReplyBytes) {
    const auto spent = state_->client_->Now() - state_->headAt_;
    LogLine(LogLevel::Info, "store_reply_large")
      .With("bytes", reply.body().size())
      .With("receive_ms", std::chrono::duration_cast<std::chrono::milliseconds>(spent).count());
  }
  // Bytes behind the reply may be a part of more, which would be taken for the next reply.
  if (reply.keep_alive() && state_->buffer_.size() == 0) {
    state_->stream_.expires_never();
    state_->client_->KeepConnection(state_->stream_.release_socket());
  } else {
    state_->stream_.close();
  }
  const auto status = reply.result_int();
  const auto kind = ClassifyStatus(status, state_->writes_);
  state_->client_->ReportCall(!kind || *kind == StoreErrorKind::Rejected);
  const auto done = std::exchange(state_->done_, nullptr);
  const std::string& epochHeader = state_->client_->Settings().epochHeader_;
  const auto epoch = epochHeader.empty() ? std::nullopt : ParseEpoch(reply[epochHeader]);
  done(HttpStoreReply{ status, std::move(reply.body()), epoch });
}

void
HttpCall::Fail(bool aSent, const std::string& aMessage)
{
  if (!state_->done_) {
    return;
  }
  state_->stream_.close();
  state_->client_->DropConnections();
  state_->client_->ReportCall(false);
  const bool unknown = aSent && state_->writes_;
  const auto done = std::exchange(state_->done_, nullptr);
  done(tl::unexpected(StoreError{
    unknown ? StoreErrorKind::OutcomeUnknown : StoreErrorKind::Unavailable, aMessage }));
}

} // namespace redwing::Detail
