Feature: An instance ends its connection before the end of a response

  # Guards against a response that an instance has cut short, in its head or in
  # its body, and that reaches the caller as complete.
  Scenario: No part of a response is passed on as a complete one
    Given a platform with hosts "h1"
    When the instance of "h1" closes after each number of bytes of a response
    Then only the whole response has status 200 for the caller
