@processes
Feature: Answers and orders when backend servers are lost

  @spoils
  Scenario: an engine is killed in the middle of streams
    Guards against truncated answers, doubled tokens and lost requests.
    Given a load of streams and orders
    When worker engine-1 is killed in the middle of requests
    And 3 s pass
    Then a stream was resumed or moved
    And the history keeps the promises

  @long @spoils
  Scenario: a plain service is killed in the middle of orders
    Guards against a second send of an order whose answer was cut off.
    Given a load of streams and orders
    When worker app-1 is killed in the middle of requests
    And 3 s pass
    Then the history keeps the promises, orders may be unknown

  @long @spoils
  Scenario: an engine's host is reclaimed, cloud API and host list cut off for one node
    Guards against new work for a leaving worker from a node that learns of
    the notice by its peers alone, and against streams cut off at the end.
    Given a load of streams and orders
    When entry-1:cloud is cut off
    And entry-1:hosts is cut off
    And the hosts of engine-1 are reclaimed with 20 s notice
    Then engine-1 gets no new request later than 3 s after the notice
    When the platform ends the reclaimed hosts at that time
    And 2 s pass
    Then the history keeps the promises
