#pragma once

#include "capacity/LinkCapacity.hpp"
#include "capacity/ResponsePacer.hpp"
#include "capacity/ResponseSizes.hpp"
#include "core/Counters.hpp"
#include "exchange/Events.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace redwing {

/// A request whose response does not fit.
struct NoRoom
{
  /// When it may come back.
  Duration retryAfter_{};
  /// Expected size of the response, and time that the bytes ahead of it take.
  std::uint64_t bytes_ = 0;
  Duration wait_{};
};

/// Large responses of one backend server: which are admitted to the link, and when their parts are
/// sent. Joins the sizes, the capacity and the pacing for the instance that serves the requests.
class LargeResponses
{
public:
  /// Preconditions: aBitsPerSecond > 0. Thread safety: not thread-safe.
  LargeResponses(double aBitsPerSecond, CounterRegistry& aCounters);

  /// Admits the response of a request, or returns why not. The response is to be sent completely by
  /// the target time, or by aDeadline if the request has no earlier target.
  ///
  /// Preconditions: aStart.key_ is not open. Thread safety: not thread-safe.
  std::optional<NoRoom> Admit(const RequestStart& aStart,
                              TimePoint aDeadline,
                              Duration aServiceTime,
                              TimePoint aNow);

  /// Takes an event of an admitted response.
  ///
  /// Preconditions: aEvent is a ResponseStart or a ResponseBody; the response is open. Thread
  /// safety: not thread-safe.
  void Push(ResponseEvent&& aEvent);

  /// Returns how many bytes of a response, beyond the usual window, are to be read ahead from the
  /// server, so that it is done with the request while the bytes wait here; they count as held from
  /// now on.
  ///
  /// Preconditions: called once for a response. Thread safety: not thread-safe.
  std::size_t ReadAhead(const ExchangeKey& aKey, std::optional<std::uint64_t> aLength);

  /// Returns the next event that is to be sent now, if there is one.
  ///
  /// Preconditions: aNow never decreases. Thread safety: not thread-safe.
  std::optional<ResponseEvent> Take(TimePoint aNow);

  /// Returns when Take is to be called again; nothing if not before the next Push or OnCredit.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<TimePoint> NextAt(TimePoint aNow) const { return pacer_.NextAt(aNow); }

  /// Records that the caller's instance passed aBytes on.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnCredit(const ExchangeKey& aKey, std::uint64_t aBytes, TimePoint aNow);

  /// Records that the request ended at the server; what waits is still sent.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnEnded(const ExchangeKey& aKey);

  /// Returns whether a response waits or may still come.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Has(const ExchangeKey& aKey) const { return open_.contains(aKey); }

  /// Forgets a response and discards what waits of it; returns whether its head was sent.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Drop(const ExchangeKey& aKey);

  /// Forgets the responses that ended at the server and are past their deadline; returns their keys
  /// and whether their heads were sent.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<std::pair<ExchangeKey, bool>> TakeExpired(TimePoint aNow);

  /// Fills in the times of bytes in aReport.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Report(LoadReport& aReport) const;

  /// Refreshes the gauges and the rate.
  ///
  /// Preconditions: aNow never decreases. Thread safety: not thread-safe.
  void Tick(TimePoint aNow);

  /// Returns whether no event waits to be sent.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Empty() const { return pacer_.Empty(); }

private:
  struct Open
  {
    std::string route_;
    TimePoint deadline_{};
    std::uint64_t bytes_ = 0;
    /// Bytes that may be read ahead and have not come.
    std::uint64_t granted_ = 0;
    /// The status shows success and the length was not stated, so that the size is learnt at the
    /// end.
    bool learns_ = false;
    bool ended_ = false;
  };

  void OnHead(Open& aOpen, const ResponseStart& aStart);
  /// Forgets a response that was sent or is not to be sent.
  void Forget(const ExchangeKey& aKey);

  ResponseSizes sizes_;
  LinkCapacity link_;
  ResponsePacer pacer_;
  std::unordered_map<ExchangeKey, Open, ExchangeKeyHash> open_;
  /// Sum of granted_ of the open responses.
  std::uint64_t granted_ = 0;
  double loggedRate_;
  TimePoint nextLog_{};
  Counter& admitted_;
  Counter& refused_;
  Counter& sentBytes_;
  Gauge& ahead_;
  Gauge& held_;
  Gauge& rate_;
};

} // namespace redwing
