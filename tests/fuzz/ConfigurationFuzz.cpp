#include "FuzzTarget.hpp"
#include "config/ConfigurationParser.hpp"
#include "config/ConfigurationRecord.hpp"
#include "config/ConfigurationWriter.hpp"

using namespace redwing;
using redwing::fuzz::Require;

int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes = fuzz::View(aData, aSize);
  const auto parsed = ConfigurationParser::Parse(bytes);
  if (parsed) {
    const std::string written = ConfigurationWriter::Write(*parsed);
    const auto again = ConfigurationParser::Parse(written);
    Require(again.has_value(), "a written document is valid");
    Require(ConfigurationWriter::Write(*again) == written, "a document survives a round trip");
  } else {
    Require(!parsed.error().empty(), "a refused document has findings");
    for (const Finding& finding : parsed.error()) {
      Require(!finding.message_.empty(), "a finding has a message");
    }
  }
  (void)ConfigurationParser::ParseStructure(bytes);
  if (const auto record = ConfigurationRecord::Parse(bytes)) {
    Require(ConfigurationRecord::Parse(record->ToText()).has_value(), "a record survives");
  }
  return 0;
}
