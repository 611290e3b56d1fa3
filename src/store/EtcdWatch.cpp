#include "store/EtcdWatch.hpp"

#include "store/EtcdCodec.hpp"
#include "store/StoreHttp.hpp"

#include <array>
#include <limits>
#include <utility>

namespace redwing::Detail {

namespace {

constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
/// One line holds the events of one revision or a replay of many; values are up to 1 MB each.
constexpr std::size_t kLineLimitBytes = std::size_t{ 64 } * 1024 * 1024;

} // namespace

struct EtcdWatch::State
{
  State(std::shared_ptr<EtcdClient> aClient,
        HttpStoreRequest aRequest,
        Store::WatchCallback aEvents)
    : client_(std::move(aClient))
    , request_(MakeHttpRequest(std::move(aRequest), client_->Settings().address_))
    , events_(std::move(aEvents))
    , stream_(client_->Context())
  {
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  std::shared_ptr<EtcdClient> client_;
  StoreHttpRequest request_;
  Store::WatchCallback events_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::buffer_body> parser_;
  std::array<char, kReadBytes> chunk_{};
  /// Received text after the last complete line.
  std::string pending_;
};

EtcdWatch::EtcdWatch(std::shared_ptr<EtcdClient> aClient,
                     HttpStoreRequest aRequest,
                     Store::WatchCallback aEvents)
  : state_(std::make_unique<State>(std::move(aClient), std::move(aRequest), std::move(aEvents)))
{
}

EtcdWatch::~EtcdWatch() = default;

void
EtcdWatch::Start()
{
  state_->stream_.expires_after(state_->client_->Settings().timeout_);
  state_->stream_.async_connect(ToEndpoint(state_->client_->Settings().address_),
                                [self = shared_from_this()](boost::system::error_code aError) {
                                  if (aError) {
                                    self->Fail(StoreErrorKind::Unavailable,
                                               "connect: " + aError.message());
                                    return;
                                  }
                                  SetSocketOptions(self->state_->stream_.socket());
                                  self->Send();
                                });
}

void
EtcdWatch::Cancel()
{
  state_->events_ = nullptr;
  state_->stream_.close();
}

void
EtcdWatch::Send()
{
  boost::beast::http::async_write(
    state_->stream_,
    state_->request_,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (aError) {
        self->Fail(StoreErrorKind::Unavailable, "send: " + aError.message());
        return;
      }
      self->ReadHeader();
    });
}

void
EtcdWatch::ReadHeader()
{
  boost::beast::http::async_read_header(
    state_->stream_,
    state_->buffer_,
    state_->parser_,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (aError) {
        self->Fail(StoreErrorKind::Unavailable, "receive: " + aError.message());
        return;
      }
      const auto status = self->state_->parser_.get().result_int();
      if (const auto kind = ClassifyStatus(status, false)) {
        self->Fail(*kind, "status " + std::to_string(status));
        return;
      }
      if (!self->state_->events_) {
        return;
      }
      self->state_->client_->ReportCall(true);
      self->state_->stream_.expires_never();
      self->ReadSome();
    });
}

void
EtcdWatch::ReadSome()
{
  auto& body = state_->parser_.get().body();
  body.data = state_->chunk_.data();
  body.size = state_->chunk_.size();
  boost::beast::http::async_read_some(
    state_->stream_,
    state_->buffer_,
    state_->parser_,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      // need_buffer says that the chunk is full, which is no error.
      if (aError && aError != boost::beast::http::error::need_buffer) {
        self->Fail(StoreErrorKind::Unavailable, "watch stream: " + aError.message());
        return;
      }
      self->OnData(self->state_->chunk_.size() - self->state_->parser_.get().body().size);
    });
}

void
EtcdWatch::OnData(std::size_t aBytes)
{
  state_->pending_.append(state_->chunk_.data(), aBytes);
  DeliverLines();
  if (!state_->events_) {
    return;
  }
  if (state_->parser_.is_done()) {
    Fail(StoreErrorKind::Unavailable, "watch stream ended");
  } else if (state_->pending_.size() > kLineLimitBytes) {
    Fail(StoreErrorKind::Unavailable, "watch message too large");
  } else {
    ReadSome();
  }
}

void
EtcdWatch::DeliverLines()
{
  std::size_t begin = 0;
  while (state_->events_) {
    const std::size_t end = state_->pending_.find('\n', begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view line = std::string_view(state_->pending_).substr(begin, end - begin);
    begin = end + 1;
    if (line.empty()) {
      continue;
    }
    auto message = DecodeWatch(line);
    if (!message) {
      Fail(StoreErrorKind::Unavailable, "malformed watch message: " + message.error());
    } else if (message->cancelReason_) {
      Fail(StoreErrorKind::Rejected, "watch canceled: " + *message->cancelReason_);
    } else if (!message->events_.empty()) {
      // The callback may end the watch, so a copy keeps it valid while it runs.
      const auto events = state_->events_;
      events(std::move(message->events_));
    }
  }
  state_->pending_.erase(0, begin);
}

void
EtcdWatch::Fail(StoreErrorKind aKind, const std::string& aMessage)
{
  if (!state_->events_) {
    return;
  }
  state_->stream_.close();
  state_->client_->ReportCall(aKind == StoreErrorKind::Rejected);
  const auto events = std::exchange(state_->events_, nullptr);
  events(tl::unexpected(StoreError{ aKind, aMessage }));
}

} // namespace redwing::Detail
