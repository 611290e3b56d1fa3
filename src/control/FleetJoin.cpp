#include "control/FleetJoin.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace redwing {

using nlohmann::json;

namespace {

/// Stored registration of an instance. The nonce identifies the process that wrote it.
struct MemberRow
{
  std::uint64_t process_ = 0;
  std::uint64_t nonce_ = 0;
  Address address_;
};

std::optional<MemberRow>
DecodeMemberRow(const std::string& aText)
{
  try {
    const json document = json::parse(aText);
    MemberRow row;
    row.process_ = document.at("process").get<std::uint64_t>();
    row.nonce_ = document.at("nonce").get<std::uint64_t>();
    const auto address = Address::Parse(document.at("peers_address").get<std::string>());
    if (!address) {
      return std::nullopt;
    }
    row.address_ = *address;
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string
EncodeMemberRow(const Member& aMember, const MemberRow& aRow)
{
  return json{
    { "process", aRow.process_ },
    { "nonce", aRow.nonce_ },
    { "peers_address", aRow.address_.ToString() },
    { "data_centre", aMember.dataCentre_ },
    { "region", aMember.region_ },
    { "rack", aMember.rack_ }
  }.dump();
}

} // namespace

FleetJoin::FleetJoin(Store& aStore, Member aSelf, std::uint64_t aNonce)
  : store_(aStore)
  , self_(std::move(aSelf))
  , nonce_(aNonce)
{
}

void
FleetJoin::Start(OnDone aDone)
{
  done_ = std::move(aDone);
  store_.Range(std::string(kMemberPrefix), false, [this](const StoreResult<StoreRange>& aResult) {
    if (!aResult) {
      Fail(aResult.error());
      return;
    }
    Write(*aResult);
  });
}

void
FleetJoin::Write(const StoreRange& aRange)
{
  const std::string ownKey = std::string(kMemberPrefix) + self_.ref_.id_;
  MemberRow row{ 0, nonce_, self_.peersAddress_ };
  std::uint64_t modRevision = 0;
  result_ = {};
  for (const StoreEntry& entry : aRange.entries_) {
    const auto other = DecodeMemberRow(entry.value_);
    if (entry.key_ == ownKey) {
      modRevision = entry.modRevision_;
      row.process_ = other ? other->process_ : 0;
      if (other && other->nonce_ == nonce_) {
        // An earlier write of this process took effect, but its reply was lost.
        result_.incarnation_ = other->process_ << kRejoinBits;
      }
    } else if (other) {
      result_.contacts_.emplace(entry.key_.substr(kMemberPrefix.size()), other->address_);
    }
  }
  if (result_.incarnation_ != 0) {
    done_(std::move(result_));
    return;
  }
  ++row.process_;
  StoreTransaction transaction;
  transaction.compares_.push_back({ ownKey, modRevision });
  transaction.writes_.push_back({ ownKey, EncodeMemberRow(self_, row), 0 });
  store_.Commit(std::move(transaction),
                [this, process = row.process_](const StoreResult<StoreTransactionResult>& aResult) {
                  if (!aResult) {
                    Fail(aResult.error());
                    return;
                  }
                  if (!aResult->succeeded_) {
                    Fail({ StoreErrorKind::Unavailable,
                           "another process changed the member row concurrently" });
                    return;
                  }
                  result_.incarnation_ = process << kRejoinBits;
                  done_(std::move(result_));
                });
}

void
FleetJoin::Fail(const StoreError& aError)
{
  done_(tl::unexpected(aError));
}

} // namespace redwing
