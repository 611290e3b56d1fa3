#include "backend/AnnouncedServer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <limits>
#include <utility>

namespace redwing {

namespace {

/// A server on the same machine accepts or refuses a connection well within this time.
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };

} // namespace

struct AnnouncedServer::Attempt
{
  explicit Attempt(boost::asio::io_context& aContext)
    : socket_(aContext)
    , timer_(aContext)
  {
  }

  void Finish(std::optional<HealthReport> aReport, bool aRefused)
  {
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    if (const auto callback = std::exchange(callback_, nullptr)) {
      callback(aReport, aRefused);
    }
  }

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::function<void(std::optional<HealthReport>, bool)> callback_;
};

AnnouncedServer::AnnouncedServer(boost::asio::io_context& aContext)
  : context_(aContext)
{
}

AnnouncedServer::~AnnouncedServer()
{
  for (const auto& item : open_) {
    if (const auto attempt = item.lock()) {
      attempt->callback_ = nullptr;
    }
  }
}

void
AnnouncedServer::SetTarget(std::optional<Address> aAddress)
{
  address_ = std::move(aAddress);
}

void
AnnouncedServer::Probe(std::function<void(std::optional<HealthReport>, bool)> aCallback)
{
  const auto attempt = std::make_shared<Attempt>(context_);
  std::erase_if(open_, [](const auto& aItem) { return aItem.expired(); });
  open_.push_back(attempt);
  attempt->callback_ = std::move(aCallback);
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address_ ? address_->ip_ : std::string(), error);
  if (error) {
    boost::asio::post(context_, [attempt] { attempt->Finish(std::nullopt, false); });
    return;
  }
  attempt->timer_.expires_after(kConnectTimeout);
  attempt->timer_.async_wait([attempt](const boost::system::error_code& aError) {
    if (!aError) {
      attempt->Finish(std::nullopt, false);
    }
  });
  attempt->socket_.async_connect(
    { ip, address_->port_ }, [attempt](const boost::system::error_code& aError) {
      if (aError) {
        attempt->Finish(std::nullopt, aError == boost::asio::error::connection_refused);
        return;
      }
      HealthReport report;
      report.ready_ = true;
      // The number of outstanding requests is unknown; the maximum keeps any from being treated as
      // lost.
      report.outstanding_ = std::numeric_limits<std::uint32_t>::max();
      attempt->Finish(report, false);
    });
}

void
AnnouncedServer::SetGrants(const std::vector<ShardGrant>& /*aGrants*/,
                           TimePoint /*aDeadline*/,
                           std::function<void(bool)> aAcknowledged)
{
  // The replies to the server's heartbeats carry the grants.
  aAcknowledged(false);
}

} // namespace redwing
