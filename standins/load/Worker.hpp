#pragma once

#include "load/Connection.hpp"
#include "load/Schedule.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <span>
#include <string>
#include <vector>

namespace redwing::standins {

/// Sends every aStride-th item of the schedule on its own thread. Each worker touches only its own
/// items. Not thread-safe.
class Worker
{
public:
  Worker(const LoadPlan& aPlan,
         std::span<LoadItem> aItems,
         std::size_t aFirst,
         std::size_t aStride,
         std::int64_t aStartNs);
  /// Returns when every item has an outcome.
  void Run();

private:
  struct Active
  {
    std::shared_ptr<Connection> connection_;
    std::int64_t deadlineNs_ = 0;
    std::size_t target_ = 0;
  };
  struct Target
  {
    std::vector<std::shared_ptr<Connection>> idle_;
    std::size_t busy_ = 0;
    std::deque<LoadItem*> waiting_;
  };

  void Pump();
  void Sweep();
  void Dispatch(LoadItem& aItem, std::size_t aTarget);
  void OnReply(LoadItem& aItem, std::list<Active>::iterator aActive, const Reply& aReply);
  void Classify(LoadItem& aItem, const Reply& aReply) const;
  bool Retry(LoadItem& aItem, std::size_t aTarget, ReplyKind aKind);
  std::string RequestText(const LoadItem& aItem) const;

  const LoadPlan& plan_;
  std::span<LoadItem> items_;
  std::size_t next_;
  std::size_t stride_;
  std::int64_t startNs_;
  boost::asio::io_context io_{ 1 };
  boost::asio::steady_timer arrivals_{ io_ };
  boost::asio::steady_timer sweep_{ io_ };
  std::vector<Target> targets_;
  std::list<Active> active_;
  std::size_t open_ = 0;
};

} // namespace redwing::standins
