#include "ServiceConfig.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

nlohmann::json
ValidFile()
{
  return { { "service", "catalogue" },
           { "address", "10.0.0.1:80" },
           { "server_labels", { "catalogue" } },
           { "default_class", "lookup" },
           { "classes", { { { "name", "lookup" } } } } };
}

std::vector<ValidationError>
ErrorsOf(const nlohmann::json& aFile)
{
  ServiceParse parsed = ParseServiceConfig(aFile);
  return parsed ? std::vector<ValidationError>{} : parsed.error();
}

} // namespace

Test(ServiceFile, RoundTripsAValidFile)
{
  ServiceParse parsed = ParseServiceConfig(ValidFile());
  cr_assert(parsed.has_value());
  cr_assert(ParseServiceConfig(ToJson(*parsed)) == parsed);
}

Test(ServiceFile, ListsEveryErrorWithItsPath)
{
  nlohmann::json file = ValidFile();
  file["address"] = "10.0.0.1";
  file["colour"] = "red";
  file["classes"][0]["min_share"] = 1.5;
  file["classes"][0]["queue_limit"] = "many";
  std::vector<std::string> paths;
  for (const ValidationError& error : ErrorsOf(file)) {
    paths.push_back(error.m_path);
    cr_assert(!error.m_found.empty());
    cr_assert(!error.m_allowed.empty());
  }
  std::vector<std::string> expected = {
    "/classes/0/min_share", "/classes/0/queue_limit", "/colour", "/address"
  };
  cr_assert(paths == expected);
}

Test(ServiceFile, RejectsSharesAboveOneAndUnknownDefaultClass)
{
  nlohmann::json file = ValidFile();
  file["default_class"] = "browse";
  file["classes"] = { { { "name", "a" }, { "min_share", 0.6 } },
                      { { "name", "b" }, { "min_share", 0.6 } } };
  cr_assert(ErrorsOf(file).size() == 2);
}

Test(ServiceFile, RejectsDocumentsWithoutRequiredFields)
{
  for (const char* text : { "null", "[]", "3", "\"x\"", "{}" }) {
    cr_assert(!ErrorsOf(nlohmann::json::parse(text)).empty());
  }
}
