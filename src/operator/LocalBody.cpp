#include "operator/LocalBody.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace redwing::Detail {

namespace {

using Json = nlohmann::json;

/// Bounds what one announcement can make every instance store and send.
constexpr std::uint64_t kMaximumSlots = 100'000;
constexpr std::size_t kMaximumLabels = 32;
constexpr std::size_t kMaximumTextLength = 128;

class BodyReader
{
public:
  explicit BodyReader(std::string_view aBody)
    : body_(Json::parse(aBody, nullptr, false))
  {
    if (!body_.is_object()) {
      findings_.push_back({ "", "must be a JSON object" });
      body_ = Json::object();
    }
  }

  std::string Text(const char* aName)
  {
    const auto found = body_.find(aName);
    if (found != body_.end() && found->is_string()) {
      auto text = found->get<std::string>();
      if (!text.empty() && text.size() <= kMaximumTextLength) {
        return text;
      }
    }
    Report(aName, "must be a string of 1 to 128 bytes");
    return {};
  }

  std::uint32_t Integer(const char* aName, std::uint64_t aMinimum, std::uint64_t aMaximum)
  {
    const auto found = body_.find(aName);
    if (found != body_.end() && found->is_number_unsigned()) {
      const auto value = found->get<std::uint64_t>();
      if (value >= aMinimum && value <= aMaximum) {
        return static_cast<std::uint32_t>(value);
      }
    }
    Report(aName,
           "must be an integer from " + std::to_string(aMinimum) + " to " +
             std::to_string(aMaximum));
    return 0;
  }

  Labels ReadLabels(const char* aName)
  {
    Labels labels;
    const auto found = body_.find(aName);
    if (found == body_.end()) {
      return labels;
    }
    if (!found->is_object() || found->size() > kMaximumLabels) {
      Report(aName, "must be an object of at most 32 labels");
      return labels;
    }
    for (const auto& [name, value] : found->items()) {
      if (!value.is_string() || value.get_ref<const std::string&>().size() > kMaximumTextLength ||
          name.size() > kMaximumTextLength) {
        Report(aName, "must hold names and strings of at most 128 bytes");
        return {};
      }
      labels[name] = value.get<std::string>();
    }
    return labels;
  }

  void Report(const char* aName, std::string aMessage)
  {
    findings_.push_back({ std::string("/") + aName, std::move(aMessage) });
  }

  template<typename T>
  tl::expected<T, Findings> Finish(T aValue)
  {
    if (!findings_.empty()) {
      return tl::unexpected(std::move(findings_));
    }
    return aValue;
  }

private:
  Json body_;
  Findings findings_;
};

} // namespace

tl::expected<BackendAnnouncement, Findings>
ParseAnnouncement(std::string_view aBody)
{
  BodyReader reader(aBody);
  BackendAnnouncement announcement;
  announcement.service_ = reader.Text("service");
  if (auto address = Address::Parse(reader.Text("address"))) {
    announcement.address_ = std::move(*address);
  } else {
    reader.Report("address", "must be IP:PORT");
  }
  announcement.slots_ = reader.Integer("slots", 1, kMaximumSlots);
  announcement.connections_ = reader.Integer("connections", 1, kMaximumSlots);
  announcement.labels_ = reader.ReadLabels("labels");
  return reader.Finish(std::move(announcement));
}

tl::expected<IssueKeyRequest, Findings>
ParseIssueKey(std::string_view aBody)
{
  BodyReader reader(aBody);
  IssueKeyRequest request;
  request.id_ = reader.Text("id");
  request.workspace_ = reader.Text("workspace");
  return reader.Finish(std::move(request));
}

tl::expected<ForceShardRequest, Findings>
ParseForceShard(std::string_view aBody)
{
  BodyReader reader(aBody);
  ForceShardRequest request;
  request.service_ = reader.Text("service");
  request.shard_ = reader.Integer("shard", 0, std::numeric_limits<std::uint16_t>::max());
  return reader.Finish(std::move(request));
}

} // namespace redwing::Detail
