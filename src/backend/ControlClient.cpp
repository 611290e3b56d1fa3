#include "backend/ControlClient.hpp"

#include <utility>

namespace redwing {

class ControlClient::Observer final : public HttpObserver
{
public:
  Observer(std::shared_ptr<ControlClient> aClient, std::uint64_t aCall)
    : client_(std::move(aClient))
    , call_(aCall)
  {
  }

  void OnResponse(HttpHead&& aHead, std::string&& aBody, bool aLast) override
  {
    reply_.status_ = aHead.status_;
    OnResponseBody(std::move(aBody), aLast);
  }
  void OnResponseBody(std::string&& aBytes, bool aLast) override
  {
    reply_.body_.append(aBytes);
    if (aLast) {
      client_->Finish(call_, reply_);
    }
  }
  void OnRequestWritten(std::size_t /*aBytes*/) override {}
  void OnFailed(const HttpFailure& aFailure) override
  {
    ControlReply reply;
    reply.refused_ = aFailure.refused_;
    client_->Finish(call_, reply);
  }

private:
  std::shared_ptr<ControlClient> client_;
  std::uint64_t call_;
  ControlReply reply_;
};

ControlClient::ControlClient(boost::asio::io_context& aContext, const Clock& aClock)
  : context_(aContext)
  , clock_(aClock)
  , timer_(aContext)
{
}

void
ControlClient::Call(const Address& aAddress,
                    std::string_view aMethod,
                    std::string_view aTarget,
                    std::string_view aBody,
                    Duration aTimeout,
                    Callback aCallback)
{
  std::string text;
  text.append(aMethod).append(" ").append(aTarget).append(" HTTP/1.1\r\nHost: ");
  text.append(aAddress.ToString());
  if (!aBody.empty()) {
    text.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    text.append(std::to_string(aBody.size()));
  }
  text.append("\r\n\r\n").append(aBody);
  queue_.push_back({ aAddress, std::move(text), aTimeout, std::move(aCallback) });
  Next();
}

void
ControlClient::Reset()
{
  if (connection_ && !active_) {
    std::exchange(connection_, nullptr)->Close();
  }
}

void
ControlClient::Abandon()
{
  connection_.reset();
  queue_.clear();
}

void
ControlClient::Next()
{
  if (active_ || queue_.empty()) {
    return;
  }
  active_ = true;
  const auto call = ++current_;
  auto& request = queue_.front();
  if (!connection_ || !connection_->Idle() || connection_->Target() != request.address_) {
    if (connection_) {
      connection_->Close();
    }
    connection_ = std::make_shared<HttpConnection>(context_, request.address_, clock_);
  }
  timer_.expires_after(request.timeout_);
  timer_.async_wait([self = shared_from_this(), call](const boost::system::error_code& aError) {
    if (!aError && self->active_ && self->current_ == call) {
      self->connection_->Close();
    }
  });
  HttpRequest http;
  http.head_ = std::move(request.text_);
  connection_->Start(std::move(http), std::make_shared<Observer>(shared_from_this(), call));
}

void
ControlClient::Finish(std::uint64_t aCall, const ControlReply& aReply)
{
  if (!active_ || aCall != current_) {
    return;
  }
  active_ = false;
  timer_.cancel();
  const auto callback = std::move(queue_.front().callback_);
  queue_.pop_front();
  callback(aReply);
  Next();
}

} // namespace redwing
