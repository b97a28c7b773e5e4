#include "routing/routetable.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::routing;

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{"dispatch", 1}};
    return route;
}

std::vector<std::shared_ptr<const Route>> shared(const std::vector<Route> &routes)
{
    std::vector<std::shared_ptr<const Route>> result;
    for (const Route &route : routes) {
        result.push_back(std::make_shared<const Route>(route));
    }
    return result;
}

std::string nameOf(const Route *route)
{
    return route == nullptr ? "none" : route->name;
}

}

TEST_CASE("A request is routed by its host and the longest matching path prefix")
{
    Configuration configuration;
    configuration.routes = shared({makeRoute("short", "yard.example", "/a/"),
                                   makeRoute("long", "yard.example", "/a/b/"),
                                   makeRoute("other", "office.example", "/a/"),
                                   makeRoute("everything", "all.example", "/")});
    const RouteTable table(configuration);

    SECTION("of several matching prefixes, the longest is used")
    {
        CHECK(nameOf(table.route("yard.example", "/a/b/c")) == "long");
        CHECK(nameOf(table.route("yard.example", "/a/b/")) == "long");
        CHECK(nameOf(table.route("yard.example", "/a/c/b/")) == "short");
    }
    SECTION("a prefix matches whole path segments only")
    {
        CHECK(nameOf(table.route("yard.example", "/a/bc")) == "short");
        CHECK(nameOf(table.route("yard.example", "/a")) == "none");
    }
    SECTION("prefixes of other hosts do not match")
    {
        CHECK(nameOf(table.route("office.example", "/a/b/c")) == "other");
        CHECK(nameOf(table.route("unknown.example", "/a/b/c")) == "none");
    }
    SECTION("case and port of the host are ignored")
    {
        CHECK(nameOf(table.route("Yard.Example:8080", "/a/")) == "short");
    }
    SECTION("the prefix / matches every path except an empty one")
    {
        CHECK(nameOf(table.route("all.example", "/x/y")) == "everything");
        CHECK(nameOf(table.route("all.example", "")) == "none");
    }
}

TEST_CASE("An API key identifies its workspace, and an unknown key identifies none")
{
    Configuration configuration;
    Workspace yard;
    yard.name = "yard";
    yard.keys = {"first", "second"};
    configuration.workspaces = {yard};
    const RouteTable table(configuration);

    REQUIRE(table.workspaceOfKey("second") != nullptr);
    CHECK(table.workspaceOfKey("second")->name == "yard");
    CHECK(table.workspaceOfKey("") == nullptr);
    CHECK(table.workspaceOfKey("third") == nullptr);
}

TEST_CASE("A route's requests are split among its services by weight")
{
    Route route = makeRoute("split", "yard.example", "/a/");
    route.services = {{"old", 90}, {"new", 10}, {"withdrawn", 0}};

    CHECK(RouteTable::chooseService(route, 0.0)->service == "old");
    CHECK(RouteTable::chooseService(route, 0.89)->service == "old");
    CHECK(RouteTable::chooseService(route, 0.9)->service == "new");
    CHECK(RouteTable::chooseService(route, 0.9999)->service == "new");

    SECTION("no service is chosen when all weights are zero")
    {
        route.services = {{"withdrawn", 0}};
        CHECK(RouteTable::chooseService(route, 0.5) == nullptr);
    }
}

TEST_CASE("A service has streams with a single attempt that yield to others only where its routes say so")
{
    Configuration configuration;
    Route plan = makeRoute("plan", "yard.example", "/plan/");
    plan.kind = RequestKind::Streaming;
    plan.priority = 2;
    plan.services = {{"engines", 1}};
    Route question = plan;
    question.name = "question";
    question.pathPrefix = "/question/";
    question.priority = 0;
    question.resumable = true;

    SECTION("a plan that may not be repeated yields to questions")
    {
        configuration.routes = shared({plan, question});
        CHECK(RouteTable(configuration).hasYieldingSingleAttempts("engines"));
        CHECK_FALSE(RouteTable(configuration).hasYieldingSingleAttempts("dispatch"));
    }
    SECTION("a plan that may be resumed is not at stake")
    {
        plan.resumable = true;
        configuration.routes = shared({plan, question});
        CHECK_FALSE(RouteTable(configuration).hasYieldingSingleAttempts("engines"));
    }
    SECTION("the most urgent streams yield to none")
    {
        plan.priority = 0;
        configuration.routes = shared({plan, question});
        CHECK_FALSE(RouteTable(configuration).hasYieldingSingleAttempts("engines"));
    }
    SECTION("a service without traffic on the route is not concerned")
    {
        plan.services = {{"engines", 0}, {"other", 1}};
        configuration.routes = shared({plan, question});
        CHECK_FALSE(RouteTable(configuration).hasYieldingSingleAttempts("engines"));
        CHECK_FALSE(RouteTable(configuration).hasYieldingSingleAttempts("other"));
    }
}
