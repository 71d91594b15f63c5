#include "soak_report.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace cactusgw::soak {

namespace {

constexpr std::size_t kFindings = 20;
constexpr std::size_t kLinesPerId = 12;

std::string
LogLinesOf(const std::string& aFolder, const std::string& aId)
{
  std::string lines;
  std::size_t n = 0;
  for (const auto& entry : std::filesystem::directory_iterator{ aFolder }) {
    std::ifstream file{ entry.path() };
    std::string line;
    while (entry.path().extension() == ".log" && n < kLinesPerId &&
           std::getline(file, line)) {
      if (line.find(aId) != std::string::npos) {
        lines += "    " + entry.path().filename().string() + ": " + line + "\n";
        ++n;
      }
    }
  }
  return lines;
}

} // namespace

std::string
Summarize(const Records& aRecords)
{
  long answered = 0;
  long ok = 0;
  long left = 0;
  long ran = 0;
  long cut = 0;
  for (const auto& [id, sent] : aRecords.mSent) {
    ok += sent.mIsWhole && sent.mStatus == 200 ? 1 : 0;
    answered += sent.mIsWhole ? 1 : 0;
    left += sent.mHasLeft ? 1 : 0;
    ran += sent.mRuns.empty() ? 0 : 1;
    cut += !sent.mIsWhole && !sent.mHasLeft && !sent.mRuns.empty() ? 1 : 0;
  }
  long peak = 0;
  for (const Peak& it : aRecords.mPeaks) {
    peak = std::max(peak, it.mBytes);
  }
  return "sent " + std::to_string(aRecords.mSent.size()) + ", answered " +
         std::to_string(answered) + " (200: " + std::to_string(ok) + "), run " +
         std::to_string(ran) + ", run and cut for any reason " +
         std::to_string(cut) + ", clients that left " + std::to_string(left) +
         ", disturbances " + std::to_string(aRecords.mDisturbances.size()) +
         ", processes " + std::to_string(aRecords.mEndings.size()) +
         ", highest memory " + std::to_string(peak / 1'000'000) + " MB";
}

std::string
Explain(const Report& aReport)
{
  std::string text;
  const std::size_t shown = std::min(aReport.mFindings.size(), kFindings);
  for (std::size_t i = 0; i < shown; ++i) {
    const Finding& finding = aReport.mFindings[i];
    text += finding.mRule + ": " + finding.mText + "\n";
    for (const std::string& id : finding.mIds) {
      text += LogLinesOf(aReport.mFolder, id);
    }
  }
  if (shown < aReport.mFindings.size()) {
    text += "and " + std::to_string(aReport.mFindings.size() - shown) +
            " findings more\n";
  }
  text += "schedule of seed " + std::to_string(aReport.mSeed) + ":\n";
  for (const Action& action : aReport.mSchedule) {
    text += "  " + TextOf(action) + "\n";
  }
  text += "logs: " + aReport.mFolder + "\n";
  return text;
}

} // namespace cactusgw::soak
