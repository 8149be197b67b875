#pragma once

#include "NameTable.h"

#include <cstdint>
#include <ostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <tl/expected.hpp>

namespace bilberryfield {

/** The step of the work at which an error arose. */
enum class Step : uint8_t
{
  ReadSettings,
  ReadServiceFile,
  OpenToken,
  DecodeMessage,
  CallPlatform,
  Publish,
  Listen,
  StartProgram,
  CallDaemon,
};

inline constexpr NameTable<Step, 9> kStepNames = { {
  { Step::ReadSettings, "read-settings" },
  { Step::ReadServiceFile, "read-service-file" },
  { Step::OpenToken, "open-token" },
  { Step::DecodeMessage, "decode-message" },
  { Step::CallPlatform, "call-platform" },
  { Step::Publish, "publish" },
  { Step::Listen, "listen" },
  { Step::StartProgram, "start-program" },
  { Step::CallDaemon, "call-daemon" },
} };

/** A failure with the step and the peer (process, file or URL) it arose at. */
struct StepError
{
  Step m_step;
  std::string m_peer;
  std::string m_detail;
};

inline std::ostream&
operator<<(std::ostream& aStream, const StepError& aError)
{
  return aStream << NameOf(kStepNames, aError.m_step) << " at " << aError.m_peer
                 << ": " << aError.m_detail;
}

/** A value or the step error that prevented it. */
template<typename Value>
using Result = tl::expected<Value, StepError>;

/** Shorthand for returning a step error from a function with a Result. */
inline tl::unexpected<StepError>
Failure(Step aStep, std::string aPeer, std::string aDetail)
{
  return tl::unexpected(
    StepError{ aStep, std::move(aPeer), std::move(aDetail) });
}

/** A defect of the program itself, never a mistake of its user. */
class InternalError : public std::logic_error
{
  using std::logic_error::logic_error;
};

// NOLINTBEGIN(bugprone-macro-parentheses): the values are streamed.
/** Throws InternalError with the streamed values when the condition fails. */
#define BILBERRY_ASSERT(aCondition, aValues)                                   \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      std::ostringstream stream;                                               \
      stream << "internal error: " #aCondition " at " << __FILE__ << ":"       \
             << __LINE__ << ": " << aValues;                                   \
      throw ::bilberryfield::InternalError(stream.str());                      \
    }                                                                          \
  } while (false)
// NOLINTEND(bugprone-macro-parentheses)

} // namespace bilberryfield
