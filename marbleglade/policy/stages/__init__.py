"""The stages of the policy: requests pass through them to an upstream, and attempt results pass back."""
