/** Log events about quotas of workspaces. */

/** Log events about quotas; times in ms. */
export type QuotaLogEvent =
  /** The workspace has used up its quota: the first of its requests was refused, and credit comes after `wait`. */
  | { readonly kind: 'quotaDenied', readonly workspace: string, readonly wait: number }
  /** The workspace has not been denied credit for some seconds; `refused` requests since `quotaDenied`. */
  | { readonly kind: 'quotaAvailable', readonly workspace: string, readonly refused: number }
  /** This instance begins or ceases to grant the credit of the workspace. */
  | { readonly kind: 'quotaGranting', readonly workspace: string, readonly granting: boolean }
