#include "intake/IntakeService.hpp"

#include "core/ConnectionAcceptor.hpp"
#include "intake/CallerConnection.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"
#include "intake/MemoryGuard.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <vector>

namespace redwing {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kSweepInterval = std::chrono::seconds(1);
constexpr auto kShutdownSweepInterval = std::chrono::milliseconds(20);

} // namespace

class IntakeService::Impl
{
public:
  explicit Impl(IntakeDependencies aDependencies)
    : core_(std::move(aDependencies))
    , acceptor_(core_.Dependencies().io_,
                [this](tcp::socket aSocket) { Adopt(std::move(aSocket)); })
    , guard_(core_, [this] { return Connections(); })
    , sweepTimer_(core_.Dependencies().io_)
    , connectionGauge_(core_.Dependencies().counters_.GetGauge("redwing_caller_connections"))
  {
    core_.SetGuard(guard_);
  }

  ~Impl() { CloseAll(); }

  std::string Start();
  void Adopt(tcp::socket aSocket);
  void Sweep();
  void BeginShutdown(TimePoint aAnswerBy, std::function<void()> aDone);
  void CloseAll();

  Detail::IntakeCore core_;
  ConnectionAcceptor acceptor_;
  std::uint16_t port_ = 0;

private:
  std::vector<std::shared_ptr<Detail::CallerConnection>> Connections() const;
  void ArmSweep();
  void StopAccepting();
  bool HasRoom();

  Detail::MemoryGuard guard_;
  boost::asio::steady_timer sweepTimer_;
  std::unordered_map<Detail::CallerConnection*, std::shared_ptr<Detail::CallerConnection>>
    connections_;
  Gauge& connectionGauge_;
  std::function<void()> done_;
  TimePoint acceptUntil_{};
  TimePoint idleCloseAt_{};
  /// The time by which requests must be answered has passed, and those that wait were told.
  bool recalled_ = false;
};

std::string
IntakeService::Impl::Start()
{
  const auto bound = acceptor_.Listen(core_.Settings().callersAddress_);
  if (!bound) {
    return bound.error();
  }
  port_ = bound->port_;
  ArmSweep();
  return {};
}

bool
IntakeService::Impl::HasRoom()
{
  return connections_.size() < core_.Settings().maxConnections_ &&
         core_.Memory().Fits(Detail::CallerConnection::kFirstBytes, MemoryUse::SmallRequest);
}

void
IntakeService::Impl::Adopt(tcp::socket aSocket)
{
  if (!HasRoom() && (!core_.Settings().closesIdleForNew_ || !guard_.MakeWay() || !HasRoom())) {
    // Closing at once costs less than an answer, which a flood of connections would exploit.
    core_.Dependencies().counters_.GetCounter("redwing_caller_connections_refused_total").Add();
    return;
  }
  auto connection = std::make_shared<Detail::CallerConnection>(
    core_, std::move(aSocket), [this](Detail::CallerConnection& aClosed) {
      connections_.erase(&aClosed);
      connectionGauge_.Set(static_cast<std::int64_t>(connections_.size()));
    });
  connections_.emplace(connection.get(), connection);
  connectionGauge_.Set(static_cast<std::int64_t>(connections_.size()));
  connection->Start();
}

std::vector<std::shared_ptr<Detail::CallerConnection>>
IntakeService::Impl::Connections() const
{
  std::vector<std::shared_ptr<Detail::CallerConnection>> connections;
  connections.reserve(connections_.size());
  for (const auto& [pointer, connection] : connections_) {
    connections.push_back(connection);
  }
  return connections;
}

void
IntakeService::Impl::ArmSweep()
{
  if (core_.ShuttingDown()) {
    sweepTimer_.expires_after(kShutdownSweepInterval);
  } else {
    sweepTimer_.expires_after(kSweepInterval);
  }
  sweepTimer_.async_wait([this](const error_code& aError) {
    if (!aError) {
      Sweep();
    }
  });
}

void
IntakeService::Impl::Sweep()
{
  const TimePoint now = core_.Now();
  StopAccepting();
  if (now >= core_.AnswerBy() && !std::exchange(recalled_, true)) {
    core_.OnAnswerBy();
  }
  for (const auto& connection : Connections()) {
    connection->Sweep(now);
    if (core_.ShuttingDown() && now >= idleCloseAt_) {
      connection->CloseIfIdle();
    }
  }
  if (core_.ShuttingDown() && connections_.empty() && !acceptor_.IsOpen()) {
    if (auto done = std::exchange(done_, nullptr)) {
      done();
    }
    return;
  }
  ArmSweep();
}

void
IntakeService::Impl::StopAccepting()
{
  if (core_.ShuttingDown() && acceptor_.IsOpen() && core_.Now() >= acceptUntil_) {
    acceptor_.Close();
  }
}

void
IntakeService::Impl::BeginShutdown(TimePoint aAnswerBy, std::function<void()> aDone)
{
  done_ = std::move(aDone);
  core_.SetShuttingDown(aAnswerBy);
  acceptUntil_ = core_.Now() + core_.Settings().acceptGrace_;
  idleCloseAt_ = acceptUntil_ + core_.Settings().shutdownGrace_;
  StopAccepting();
  ArmSweep();
}

void
IntakeService::Impl::CloseAll()
{
  for (const auto& connection : Connections()) {
    connection->Close();
  }
}

IntakeService::IntakeService(IntakeDependencies aDependencies)
  : impl_(std::make_unique<Impl>(std::move(aDependencies)))
{
}

IntakeService::~IntakeService() = default;

std::string
IntakeService::Start()
{
  return impl_->Start();
}

std::uint16_t
IntakeService::Port() const
{
  return impl_->port_;
}

void
IntakeService::OnResponseEvent(ResponseEvent&& aEvent)
{
  impl_->core_.OnResponseEvent(std::move(aEvent));
}

void
IntakeService::OnPeerDown(const std::string& aInstanceId)
{
  impl_->core_.OnPeerDown(aInstanceId);
}

void
IntakeService::BeginShutdown(TimePoint aAnswerBy, std::function<void()> aDone)
{
  impl_->BeginShutdown(aAnswerBy, std::move(aDone));
}

void
IntakeService::LogUnanswered() const
{
  impl_->core_.LogUnanswered();
}

} // namespace redwing
