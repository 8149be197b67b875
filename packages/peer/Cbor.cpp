#include "Cbor.h"

namespace bilberryfield {

namespace {

using nlohmann::json;

constexpr size_t kMaxDepth = 64;
/** A shorter message cannot be nested deeply enough to exhaust the stack. */
constexpr size_t kMaxUncheckedBytes = 4096;

/** Ends a parse at the first value that is nested too deeply. */
class DepthCheck : public nlohmann::json_sax<json>
{
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t, const std::string&, const json::exception&) override
  {
    return false;
  }

  bool IsTooDeep() const { return m_depth > kMaxDepth; }

private:
  bool Enter()
  {
    m_depth += 1;
    return !IsTooDeep();
  }
  bool Leave()
  {
    m_depth -= 1;
    return true;
  }

  size_t m_depth = 0;
};

} // namespace

// The library parses nested values recursively.
json
ParseCbor(std::string_view aBytes)
{
  if (aBytes.size() > kMaxUncheckedBytes) {
    DepthCheck check;
    json::sax_parse(
      aBytes.begin(), aBytes.end(), &check, json::input_format_t::cbor);
    if (check.IsTooDeep()) {
      throw json::other_error::create(0, "nested too deeply", nullptr);
    }
  }
  return json::from_cbor(aBytes);
}

} // namespace bilberryfield
